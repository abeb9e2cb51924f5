import { once } from "node:events";
import { setImmediate } from "node:timers/promises";
import type { Dispatcher } from "undici";
import { beforeEach, expect, test } from "vitest";
import { AnswerBody } from "../src/http/answerBody.js";

const CHUNK_BYTES = 16;
const CHUNKS = 10_000;
/** What a body holds before it pauses its connection. */
const BUFFER_BYTES = 65_536;

let calls: string[];
let body: AnswerBody;
let received: Buffer[];

beforeEach(() => {
    calls = [];
    received = [];
    const controller = {
        pause: () => calls.push("pause"),
        resume: () => undefined,
        abort: () => calls.push("abort"),
    };
    body = new AnswerBody(controller as unknown as Dispatcher.DispatchController);
});

function acceptChunks(): Buffer {
    const chunks = Array.from({ length: CHUNKS }, (_, index) => Buffer.alloc(CHUNK_BYTES, String(index)));
    chunks.forEach(chunk => body.accept(chunk));
    return Buffer.concat(chunks);
}

// Guards against a long answer in small chunks that is broken off at its deadline, since each chunk costs a turn of its own on a busy host.
test("chunks that arrive together are passed on as a few large ones, in order", async () => {
    body.stream.on("data", chunk => received.push(chunk as Buffer));
    const sent = acceptChunks();
    await setImmediate();
    expect(Buffer.concat(received).equals(sent)).toBe(true);
    expect(received.length).toBeLessThanOrEqual(Math.ceil(sent.length / BUFFER_BYTES));
});

test("chunks that arrive in different turns of the event loop do not wait for each other", async () => {
    body.stream.on("data", chunk => received.push(chunk as Buffer));
    body.accept(Buffer.from("one"));
    await setImmediate();
    body.accept(Buffer.from("two"));
    await setImmediate();
    expect(received.map(String)).toEqual(["one", "two"]);
});

test("a body whose reader does not read pauses its connection once its buffer is full", async () => {
    body.accept(Buffer.alloc(BUFFER_BYTES / 2));
    await setImmediate();
    expect(calls).toEqual([]);
    body.accept(Buffer.alloc(BUFFER_BYTES / 2));
    await setImmediate();
    expect(calls).toEqual(["pause"]);
});

test("what arrived before the end of a body is part of it", async () => {
    body.stream.on("data", chunk => received.push(chunk as Buffer));
    const sent = acceptChunks();
    body.finish();
    await once(body.stream, "end");
    expect(Buffer.concat(received).equals(sent)).toBe(true);
});

test("what arrived before a body broke off is passed on, and the reader learns of the break", async () => {
    body.stream.on("data", chunk => received.push(chunk as Buffer));
    // Lets the stream start to flow.
    await setImmediate();
    const failed = once(body.stream, "error");
    const sent = acceptChunks();
    body.fail(new Error("broken"));
    await failed;
    expect(Buffer.concat(received).equals(sent)).toBe(true);
});
