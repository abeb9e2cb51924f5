import { type LogEvent, Logger, ManualClock, RandomSource } from "@arbutusdoor/common";
import { Connection, Transport } from "@arbutusdoor/mesh";
import { pack } from "msgpackr";
import { expect, test } from "vitest";
import { CoordinatorHub } from "../src/links/coordinatorHub.js";
import { CoordinatorLink } from "../src/links/coordinatorLink.js";

class RecordingConnection extends Connection {
    events: Parameters<Connection["listen"]>[0] | undefined;
    isTerminated = false;

    override get bufferedBytes(): number {
        return 0;
    }

    override listen(events: Parameters<Connection["listen"]>[0]): void {
        this.events = events;
    }

    override send(): void {}

    override close(): void {}

    override terminate(): void {
        this.isTerminated = true;
    }
}

/** Has one connection, which is accepted at once and dialled at once. */
class SingleTransport extends Transport {
    readonly connection = new RecordingConnection();

    override listen(...[, , , onConnection]: Parameters<Transport["listen"]>): Promise<string> {
        onConnection(this.connection);
        return Promise.resolve("unused");
    }

    override dial(): Promise<Connection> {
        return Promise.resolve(this.connection);
    }

    override close(): Promise<void> {
        return Promise.resolve();
    }
}

function createParts() {
    const clock = new ManualClock();
    const logger = new Logger(clock, "test", "silent");
    const logged: LogEvent[] = [];
    logger.onEvent(event => logged.push(event));
    return { clock, logger, logged, transport: new SingleTransport() };
}

const FRAMES = [
    ["that is cut short", pack({ kind: "beat", hosts: 3 }).subarray(0, 4)],
    ["of no known code", Buffer.from([0xc1])],
    ["that is empty", Buffer.alloc(0)],
    ["that is not a message", pack(7)],
    ["that is null", pack(null)],
] as const;

// Guards against a frame of another host that ended the process and with it all other links and requests.
test.each(FRAMES)("a frame %s from the coordinator ends its link alone", async (_, frame) => {
    const { clock, logged, logger, transport } = createParts();
    const link = new CoordinatorLink({
        transport,
        clock,
        random: new RandomSource(1),
        logger,
        createFirstReport: () => ({
            kind: "report",
            host: "h",
            incarnation: "h-1",
            followedTerm: 1,
            keys: [],
            servers: [],
            misdirected: [],
        }),
        onMessage: ({ kind }) => {
            if (typeof kind !== "string") {
                throw new TypeError("no kind");
            }
        },
    });
    link.connect("a:1");
    await Promise.resolve();
    transport.connection.events!.onFrame(frame);
    expect(transport.connection.isTerminated).toBe(true);
    expect(logged).toContain("peerFrameMalformed");
});

test.each(FRAMES)("a frame %s from a host ends its link alone", async (_, frame) => {
    const { clock, logged, logger, transport } = createParts();
    const hub = new CoordinatorHub({
        transport,
        ip: "a",
        port: 1,
        clock,
        logger,
        isCoordinating: () => true,
        createUpdates: () => [],
        onReport: () => {
            throw new Error("a malformed report was passed on");
        },
    });
    await hub.listen();
    transport.connection.events!.onFrame(frame);
    expect(transport.connection.isTerminated).toBe(true);
    expect(logged).toContain("peerFrameMalformed");
});
