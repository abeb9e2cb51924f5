import { HttpExchange, HttpPools } from "@arbutusdoor/clients";
import { SystemClock } from "@arbutusdoor/common";
import { setTimeout } from "node:timers/promises";
import { expect, onTestFinished, test } from "vitest";
import { ScriptedServer } from "./support/scriptedServer.js";

const ANSWER = "HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n";
const TIMEOUT_MS = 2_000;
const HOLD_MS = 200;
/** Time after which an answered connection is free again. */
const SETTLE_MS = 50;

/** Starts a server that answers after a while, and a function that sends it requests at once under a limit of the connections. */
async function start() {
    const server = await ScriptedServer.start(socket => {
        void setTimeout(HOLD_MS).then(() => socket.write(ANSWER));
    });
    const pools = new HttpPools({
        connections: 2,
        connectTimeoutMs: 500,
        idleTimeoutMs: 5_000,
        addressLimit: 8,
    });
    onTestFinished(() => pools.close());
    const request = {
        method: "GET",
        path: "/",
        headers: {},
        body: undefined,
        headTimeout: TIMEOUT_MS,
    };
    const sendMany = async (count: number, limit?: number) => {
        await Promise.all(Array.from({ length: count }, async () => {
            const pool = pools.get(server.address, limit);
            const outcome = await HttpExchange.send(pool, request, new SystemClock());
            expect(outcome.kind).toBe("head");
            if (outcome.kind === "head") {
                outcome.body.resume();
            }
        }));
        await setTimeout(SETTLE_MS);
    };
    const countOpen = () => pools.countConnections().get(server.address);
    return { countOpen, sendMany, server };
}

// Guards against connections that are all opened anew whenever the number of hosts changes: a new one costs a busy server the most.
test("another limit leaves the connections open while fewer are needed", async () => {
    const { countOpen, sendMany, server } = await start();
    await sendMany(2, 4);
    await sendMany(1, 8);
    await sendMany(2, 3);
    await sendMany(2);
    expect([server.sockets.length, countOpen()]).toEqual([2, 2]);
});

test("a higher limit opens more connections once all are in use", async () => {
    const { countOpen, sendMany } = await start();
    await sendMany(2, 2);
    await sendMany(6, 6);
    expect(countOpen()).toBeGreaterThanOrEqual(4);
    expect(countOpen()).toBeLessThanOrEqual(6);
});

// Guards against connections above the limit that stay open: the server resets those that other hosts open.
test("a lower limit closes the connections above it", async () => {
    const { countOpen, sendMany } = await start();
    await sendMany(6, 6);
    expect(countOpen()).toBe(6);
    await sendMany(3, 3);
    expect(countOpen()).toBe(3);
});
