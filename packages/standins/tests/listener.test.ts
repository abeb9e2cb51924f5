import { SystemClock } from "@arbutusdoor/common";
import type { IncomingMessage, ServerResponse } from "node:http";
import { connect, type Socket } from "node:net";
import { afterEach, beforeEach, expect, test } from "vitest";
import { Listener } from "../src/common/listener.js";

const LOOPBACK = "127.0.0.1";
const SETTLE_MS = 60;
/** Longer than a new connection is given for its first request. */
const OLD_MS = 600;
/** Longer than a listener that closes waits for the rest of a request. */
const LONG_MS = 4_000;
/** More than the sockets of one connection buffer. */
const LONG_BYTES = 12_000_000;
const HEAD = "GET /work HTTP/1.1\r\nHost: server.example\r\n\r\n";
const POST_HEAD = "POST /work HTTP/1.1\r\nHost: server.example\r\nContent-Length: 6\r\n\r\n";

const clock = new SystemClock();
let listener: Listener;
let caller: Socket;
let received: string;
/** Ends the answers to `/work`. */
let answers: (() => void)[];

beforeEach(async () => {
    answers = [];
    received = "";
    listener = new Listener(LOOPBACK, 0, answer);
    await listener.open();
    caller = connect(Number(listener.address.split(":")[1]), LOOPBACK);
    caller.on("error", () => undefined);
    caller.on("data", data => {
        received += data.toString("latin1");
    });
    await clock.sleep(SETTLE_MS);
});

afterEach(async () => {
    caller.destroy();
    await listener.cut();
});

// Guards against a server that never ends after SIGTERM: a connection on which nothing ever arrived held its port.
test.each([
    ["that was never used", "", OLD_MS],
    ["on which the rest of a head does not arrive", HEAD.slice(0, 20), SETTLE_MS],
    ["on which the rest of a body does not arrive", `${POST_HEAD}abc`, SETTLE_MS],
])("a connection %s does not hold a listener that closes", async (_, bytes, waitMs) => {
    caller.write(bytes);
    await clock.sleep(waitMs);
    const closed = listener.close().then(() => "closed");
    expect(await Promise.race([closed, clock.sleep(LONG_MS)])).toBe("closed");
});

test("an answer that was written and not yet sent out when a listener closes arrives whole", async () => {
    caller.pause();
    caller.write(HEAD.replace("/work", "/long"));
    await clock.sleep(SETTLE_MS);
    const closed = listener.close();
    await clock.sleep(SETTLE_MS);
    caller.resume();
    await closed;
    await clock.sleep(SETTLE_MS);
    expect(received.length).toBeGreaterThan(LONG_BYTES);
});

test("an answer under way when a listener closes announces the end of its connection", async () => {
    caller.write(HEAD);
    await clock.sleep(SETTLE_MS);
    const closed = listener.close();
    await clock.sleep(SETTLE_MS);
    answers.pop()!();
    await closed;
    expect(received).toMatch(/^connection: close\r$/im);
});

test("a listener opens again at its port", async () => {
    const { address } = listener;
    await listener.close();
    await listener.open();
    expect(listener.address).toBe(address);
});

function answer(message: IncomingMessage, response: ServerResponse): void {
    if (message.url === "/long") {
        response.setHeader("content-length", LONG_BYTES);
        response.end(Buffer.alloc(LONG_BYTES, "x"));
        return;
    }
    answers.push(() => response.end("answered"));
}
