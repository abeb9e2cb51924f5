import { Metrics, SystemClock } from "@arbutusdoor/common";
import { once } from "node:events";
import { type AddressInfo, connect, createServer, type Socket } from "node:net";
import { setTimeout as sleep } from "node:timers/promises";
import { expect, onTestFinished, test } from "vitest";
import { HttpClient } from "../src/index.js";

const TIMEOUT_MS = 100;
const BLOCKED_MS = 300;
const SETTLE_MS = 100;

/** Starts a server that records what it receives. */
async function startServer(onData: (bytes: Buffer) => void): Promise<number> {
    const sockets = new Set<Socket>();
    const server = createServer(socket => {
        sockets.add(socket.on("data", onData).on("error", () => undefined));
    });
    server.listen(0, "127.0.0.1");
    await once(server, "listening");
    onTestFinished(() => {
        sockets.forEach(socket => socket.destroy());
        server.close();
    });
    return (server.address() as AddressInfo).port;
}

function block(duration: number): void {
    const clock = new SystemClock();
    for (const end = clock.now() + duration; clock.now() < end;) {}
}

// Guards against two owners of a key: connections and answers are handled before overdue timers, so that a blocked event loop sends a call
// after its time limit.
test("a call whose connection opens after its time limit is not sent, although its timer has not run yet", async () => {
    const received: string[] = [];
    const port = await startServer(bytes => void received.push(bytes.toString()));
    const blockingPort = await startServer(() => block(BLOCKED_MS));
    const trigger = connect(blockingPort, "127.0.0.1");
    await once(trigger, "connect");
    const client = new HttpClient({
        name: "server",
        baseUrl: `http://127.0.0.1:${port}`,
        clock: new SystemClock(),
        metrics: new Metrics(),
        limits: {
            timeoutMs: TIMEOUT_MS,
            requestsPerSecond: 100,
            concurrency: 1,
            idleTimeoutMs: 1_000,
            waitingLimit: 10,
            answerLimitBytes: 1_000,
        },
    });
    onTestFinished(() => client.abandon());
    trigger.write("x");
    const answer = await client.call({ method: "POST", path: "/grant", body: Buffer.from("{}") });
    expect(answer.kind).toBe("notRun");
    await sleep(SETTLE_MS);
    expect(received).toEqual([]);
    trigger.destroy();
});
