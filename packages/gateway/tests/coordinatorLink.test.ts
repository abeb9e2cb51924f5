import { Logger, ManualClock, RandomSource } from "@arbutusdoor/common";
import { type Connection, Transport } from "@arbutusdoor/mesh";
import { expect, test } from "vitest";
import { CoordinatorLink } from "../src/links/coordinatorLink.js";

const HOSTS = 72;
/** How often a host without a link looks for the coordinator. */
const POLL_MS = 450;
/** Links that a coordinator with a tenth of a core can open beside its other work. */
const LINKS_PER_SECOND = 100;

/** A peer that accepts no link; each attempt ends after a time. */
class BusyTransport extends Transport {
    readonly dials: { readonly address: string; readonly at: number; }[] = [];
    openDials = 0;
    mostOpenDials = 0;
    private readonly clock: ManualClock;
    private readonly dialMs: number;

    constructor(clock: ManualClock, dialMs: number) {
        super();
        this.clock = clock;
        this.dialMs = dialMs;
    }

    override listen(): Promise<string> {
        return Promise.resolve("unused");
    }

    override async dial(address: string): Promise<Connection | undefined> {
        this.dials.push({ address, at: this.clock.now() });
        this.openDials++;
        this.mostOpenDials = Math.max(this.mostOpenDials, this.openDials);
        await this.clock.sleep(this.dialMs);
        this.openDials--;
        return undefined;
    }

    override close(): Promise<void> {
        return Promise.resolve();
    }
}

function createLink(clock: ManualClock, transport: Transport, seed: number): CoordinatorLink {
    return new CoordinatorLink({
        transport,
        clock,
        random: new RandomSource(seed),
        logger: new Logger(clock, "host", "silent"),
        createFirstReport: () => {
            throw new Error("no link was opened");
        },
        onMessage: () => undefined,
    });
}

async function advance(clock: ManualClock, duration: number, step: () => void): Promise<void> {
    for (const end = clock.now() + duration; clock.now() < end;) {
        step();
        clock.advance(POLL_MS);
        for (let turn = 0; turn < 8; turn++) {
            await Promise.resolve();
        }
    }
}

// Guards against hosts without a coordinator for seconds: all of them keep asking a busy one, which has no time left to answer any.
test.each([10, 500])(
    "hosts do not keep a coordinator busy that refuses their links after %i ms",
    async dialMs => {
        const clock = new ManualClock();
        const transport = new BusyTransport(clock, dialMs);
        const links = Array.from({ length: HOSTS }, (_, seed) => createLink(clock, transport, seed));
        await advance(clock, 3_000, () => links.forEach(link => link.connect("a:1")));
        const before = transport.dials.length;
        await advance(clock, 9_000, () => links.forEach(link => link.connect("a:1")));
        expect((transport.dials.length - before) / 9).toBeLessThan(LINKS_PER_SECOND * 0.7);
        expect(transport.mostOpenDials).toBeLessThanOrEqual(HOSTS);
    },
);

test("a host turns to a new coordinator at once, also while it waits for an earlier one", async () => {
    const clock = new ManualClock();
    const transport = new BusyTransport(clock, 60_000);
    const link = createLink(clock, transport, 1);
    link.connect("a:1");
    await advance(clock, 1_000, () => link.connect("a:1"));
    link.connect("b:1");
    expect(transport.dials.map(({ address }) => address)).toEqual(["a:1", "b:1"]);
    await advance(clock, 1_000, () => link.connect("b:1"));
    expect(transport.dials).toHaveLength(2);
});
