import { createRefusal, type RequestId, type ServiceId, type SliceId } from "@arbutusdoor/common";
import fc from "fast-check";
import { pack } from "msgpackr";
import { expect, test } from "vitest";
import { readHandshakeMessage } from "../src/handshake/readHandshakeMessage.js";
import { decodeFrame } from "../src/protocol/decodeFrame.js";
import { encodeMessage } from "../src/protocol/encodeMessage.js";
import type { Message } from "../src/protocol/message.js";
import { createRequest } from "./helpers/createRequest.js";

const SEED = 7;
const id = "a1-1" as RequestId;
const slice = { service: "gustboard" as ServiceId, slice: "s-1" as SliceId, generation: 3 };
const refusal = createRefusal("shed", "too much");

const MESSAGES: readonly Message[] = [
    { kind: "heartbeat" },
    { kind: "control", payload: { at: 2 ** 40, list: [1, "two", undefined] } },
    { kind: "request", stream: 1, request: createRequest(id, { slice, hasBody: true }) },
    { kind: "request", stream: 3, request: createRequest(id, { key: undefined }) },
    { kind: "answer", stream: 1, id, status: 204, headers: { "content-type": "text/plain" } },
    { kind: "refusal", stream: 1, id, refusal },
    { kind: "data", stream: 2 ** 33, offset: 0, bytes: Buffer.from("bytes") },
    { kind: "end", stream: 1, length: 2 ** 35 },
    { kind: "broken", stream: 1 },
    { kind: "credit", stream: 1, bytes: 65_536 },
    { kind: "cancel", stream: 1 },
    { kind: "unwanted", stream: 1 },
    { kind: "ask", id, link: 4, stream: 1 },
    { kind: "verdict", id, verdict: { kind: "notReceived" } },
    { kind: "verdict", id, verdict: { kind: "received" } },
    { kind: "verdict", id, verdict: { kind: "refused", refusal } },
];

const FRAME = Buffer.concat(MESSAGES.map(encodeMessage));

test("several messages in a frame are decoded as they were encoded", () => {
    expect(decodeFrame(FRAME)).toEqual({ kind: "messages", messages: MESSAGES });
});

test("the decoders never throw", () => {
    const anyBytes = fc.uint8Array({ maxLength: 200 });
    const anyValues = fc.array(fc.oneof(fc.nat(15), fc.anything(), fc.string(), fc.uint8Array())).map(
        values => new Uint8Array(pack(values)),
    );
    const changedFrames = fc.tuple(fc.nat(FRAME.length - 1), fc.nat(255), fc.nat(FRAME.length)).map(
        ([position, byte, length]) => {
            const changed = new Uint8Array(FRAME);
            changed[position] = byte;
            return changed.subarray(0, length);
        },
    );
    const property = fc.property(fc.oneof(anyBytes, anyValues, changedFrames), bytes => {
        const decoded = decodeFrame(bytes);
        expect(["messages", "malformed"]).toContain(decoded.kind);
        expect(["greeting", "otherVersion", "malformed"]).toContain(readHandshakeMessage(bytes).kind);
    });
    fc.assert(property, { seed: SEED, numRuns: 5_000 });
});

test.each([
    ["an empty frame", Buffer.alloc(0)],
    ["a truncated frame", FRAME.subarray(0, FRAME.length - 1)],
    ["an unknown code", pack([99])],
    ["a value that is not an array", pack({ 0: 0 })],
    ["a negative stream", pack([10, -1])],
    ["an inherited refusal reason", pack([4, 1, "a1-1", "constructor", ""])],
    ["headers that are not text", pack([3, 1, "a1-1", 200, { accept: 1 }])],
    ["a deadline that is not a number", pack([2, 1, "a", "s", "k", "c", "GET", "/", {}, NaN])],
    ["an array longer than the frame", Buffer.from([0xdd, 0xff, 0xff, 0xff, 0xff, 0x00])],
])("%s is malformed", (_name, bytes) => {
    expect(decodeFrame(bytes).kind).toBe("malformed");
});
