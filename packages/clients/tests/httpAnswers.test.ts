import { Readable } from "node:stream";
import { text } from "node:stream/consumers";
import { expect, test } from "vitest";
import { createBackendRequest } from "./support/createBackendRequest.js";
import { createTraffic } from "./support/createTraffic.js";
import { readAnswer } from "./support/readAnswer.js";
import { ScriptedServer } from "./support/scriptedServer.js";
import { waitUntil } from "./support/waitUntil.js";

const HEAD = "HTTP/1.1 200 OK\r\n";
const MEGABYTE = 1_048_576;

test.each([
    ["shorter than its content-length", `${HEAD}content-length: 9\r\n\r\nok`],
    [
        "shorter, on a connection that says it closes",
        `${HEAD}connection: close\r\ncontent-length: 9\r\n\r\nok`,
    ],
    ["chunked without its end", `${HEAD}transfer-encoding: chunked\r\n\r\n2\r\nok\r\n`],
    [
        "chunked without its end, on a connection that says it closes",
        `${HEAD}connection: close\r\ntransfer-encoding: chunked\r\n\r\n2\r\nok\r\n`,
    ],
])("an answer body that is %s emits an error", async (...[, bytes]) => {
    for (const end of ["end", "resetAndDestroy"] as const) {
        const server = await ScriptedServer.start(socket => socket.write(bytes, () => socket[end]()));
        const answer = await createTraffic().traffic.send(createBackendRequest(server.address));
        // A reset can arrive before the head of the answer is read.
        const outcome = answer.kind === "answered" ? await readAnswer(answer) : answer;
        const isWhole = answer.kind === "answered"
            && !(outcome as { body: string; }).body.startsWith("broken");
        expect({ end, isWhole, kind: answer.kind === "notRun" }).toEqual({
            end,
            isWhole: false,
            kind: false,
        });
    }
});

test("an answer that ends with its connection may be truncated, and is unknown", async () => {
    const server = await ScriptedServer.start(socket => socket.end(`${HEAD}connection: close\r\n\r\nok`));
    expect(await createTraffic().traffic.send(createBackendRequest(server.address))).toMatchSnapshot();
});

test("a connection reset under backpressure fails only the body", async () => {
    const big = Buffer.alloc(4 * MEGABYTE);
    const server = await ScriptedServer.start((socket, count) => {
        if (count === 1) {
            socket.write(`${HEAD}connection: close\r\ncontent-length: ${2 * big.length}\r\n\r\n`);
            socket.write(big);
        }
    });
    const { traffic } = createTraffic();
    const body = new Readable({ read: () => undefined });
    body.push("abc");
    const answer = await traffic.send(createBackendRequest(server.address, { method: "POST", body }));
    if (answer.kind !== "answered") {
        throw new Error("no head");
    }
    await waitUntil(() => answer.body.readableLength >= answer.body.readableHighWaterMark);
    server.sockets[0]!.resetAndDestroy();
    await waitUntil(() => !body.destroyed && !body.push("more") || body.destroyed);
    await waitUntil(() => traffic.countConnections().get(server.address) === 0);
    expect(await readAnswer(answer)).toMatchObject({ body: expect.stringMatching(/^broken/) });
});

test("a reader that stops applies backpressure to the server", async () => {
    const big = Buffer.alloc(64 * MEGABYTE);
    const server = await ScriptedServer.start(socket => {
        socket.write(`${HEAD}content-length: ${big.length}\r\n\r\n`);
        socket.write(big);
    });
    const answer = await createTraffic().traffic.send(createBackendRequest(server.address));
    if (answer.kind !== "answered") {
        throw new Error("no head");
    }
    await waitUntil(() => answer.body.readableLength >= answer.body.readableHighWaterMark);
    for (let turn = 0; turn < 200; turn++) {
        await new Promise(resolve => setImmediate(resolve));
    }
    expect(answer.body.readableLength).toBeLessThan(MEGABYTE);
    expect(server.sockets[0]!.writableLength).toBeGreaterThan(32 * MEGABYTE);
    expect((await text(answer.body)).length).toBe(big.length);
});
