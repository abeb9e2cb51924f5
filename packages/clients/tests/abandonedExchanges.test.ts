import { HttpExchange, type HttpOutcome, HttpPools } from "@arbutusdoor/clients";
import { SystemClock } from "@arbutusdoor/common";
import type { Socket } from "node:net";
import { expect, onTestFinished, test } from "vitest";
import { ScriptedServer } from "./support/scriptedServer.js";
import { waitForClose } from "./support/waitForClose.js";

const HEAD = "HTTP/1.1 200 OK\r\n";
const WHOLE = `${HEAD}content-length: 2\r\n\r\nok`;
const HEAD_TIMEOUT_MS = 100;
const IDLE_TIMEOUT_MS = 100;

type Exchange = {
    /** Called when the first bytes of the connection arrive. */
    readonly script: (socket: Socket) => unknown;
    readonly body?: Uint8Array;
    /** Whether the exchange is aborted after its outcome. */
    readonly isAborted?: boolean;
};

type Ending = {
    readonly outcome: HttpOutcome;
    /** How the connection ended at the server. */
    readonly end: string;
    readonly arrivedBytes: number;
};

async function exchange({ body, isAborted, script }: Exchange): Promise<Ending> {
    const ends: Promise<string>[] = [];
    const server = await ScriptedServer.start(socket => {
        if (ends.length === 0) {
            ends.push(waitForClose(socket));
            script(socket);
        }
    });
    const pools = new HttpPools({
        connections: 1,
        connectTimeoutMs: 1_000,
        idleTimeoutMs: IDLE_TIMEOUT_MS,
        addressLimit: 1,
    });
    onTestFinished(() => void pools.close());
    const controller = new AbortController();
    const outcome = await HttpExchange.send(
        pools.get(server.address),
        {
            method: "POST",
            path: "/",
            headers: {},
            body,
            headTimeout: HEAD_TIMEOUT_MS,
            signal: controller.signal,
        },
        new SystemClock(),
    );
    if (isAborted) {
        controller.abort();
    }
    else if (outcome.kind === "head") {
        outcome.body.resume();
    }
    const [socket] = server.sockets;
    socket?.resume();
    const end = await ends[0]!;
    return { outcome, end, arrivedBytes: socket!.bytesRead };
}

// Guards against an aborted order that the kernel delivers after a network partition: a plain close leaves its bytes in the kernel.
test.each<[string, Exchange, string]>([
    ["without an answer in time", { script: () => undefined }, "lost"],
    [
        "whose answer is still arriving",
        { script: socket => socket.write(`${HEAD}content-length: 9\r\n\r\nok`), isAborted: true },
        "head",
    ],
    ["answered with bytes that are not HTTP", { script: socket => socket.write("!!??\r\n\r\n") }, "lost"],
    [
        "answered without a stated end",
        { script: socket => socket.write(`${HEAD}\r\nok`) },
        "lost",
    ],
])("an exchange %s resets its connection when it is aborted", async (_, parts, kind) => {
    const { end, outcome } = await exchange(parts);
    expect({ end, kind: outcome.kind }).toEqual({ end: "reset", kind });
});

test("an aborted request does not arrive completely when its server resumes reading", async () => {
    const body = Buffer.alloc(1_048_576);
    const { arrivedBytes, outcome } = await exchange({ script: socket => socket.pause(), body });
    expect(outcome.kind).toBe("lost");
    expect(arrivedBytes).toBeLessThan(body.length);
});

test.each<[string, Exchange]>([
    ["that stays idle", { script: socket => socket.write(WHOLE) }],
    [
        "whose last answer says that it closes",
        { script: socket => socket.write(WHOLE.replace("\r\n", "\r\nconnection: close\r\n")) },
    ],
    ["that the server ends when idle", { script: socket => socket.end(WHOLE) }],
])("a connection %s is closed without a reset after a complete answer", async (_, parts) => {
    const { end, outcome } = await exchange(parts);
    expect({ end, kind: outcome.kind }).toEqual({ end: "closed", kind: "head" });
});
