import { text } from "node:stream/consumers";
import { expect, test } from "vitest";
import { BodyReceiver } from "../src/stream/bodyReceiver.js";

const WINDOW_BYTES = 10;

function createReceiver() {
    const credits: number[] = [];
    const receiver = new BodyReceiver(WINDOW_BYTES, {
        onRead: bytes => credits.push(bytes),
        onUnwanted: () => credits.push(-1),
    });
    return { receiver, credits };
}

test("a chunk that exceeds the window, is out of order, empty or after the end is rejected", () => {
    const { receiver } = createReceiver();
    expect(receiver.receive(0, Buffer.alloc(WINDOW_BYTES + 1))).toBe(false);
    expect(receiver.receive(0, Buffer.alloc(0))).toBe(false);
    expect(receiver.receive(1, Buffer.alloc(1))).toBe(false);
    expect(receiver.receive(0, Buffer.from("0123456789"))).toBe(true);
    expect(receiver.receive(10, Buffer.alloc(1))).toBe(false);
    expect(receiver.finish(9)).toBe(false);
    expect(receiver.finish(10)).toBe(true);
    expect(receiver.receive(10, Buffer.alloc(1))).toBe(false);
});

test("credit is returned as the reader reads, and the body arrives complete", async () => {
    const { receiver, credits } = createReceiver();
    receiver.receive(0, Buffer.from("01234"));
    receiver.receive(5, Buffer.from("56789"));
    expect(credits).toEqual([]);
    const read = text(receiver.readable);
    await new Promise(resolve => setImmediate(resolve));
    expect(credits).toEqual([5, 5]);
    expect(receiver.receive(10, Buffer.from("abc"))).toBe(true);
    expect(receiver.finish(13)).toBe(true);
    expect(await read).toBe("0123456789abc");
});

test("a body may fail without a reader, and a reader that closes the stream is reported once", async () => {
    const broken = createReceiver();
    broken.receiver.fail("gone");
    await expect(text(broken.receiver.readable)).rejects.toThrow("gone");
    const closed = createReceiver();
    closed.receiver.readable.destroy();
    closed.receiver.fail("gone");
    await new Promise(resolve => setImmediate(resolve));
    expect([broken.credits, closed.credits]).toEqual([[], [-1]]);
});
