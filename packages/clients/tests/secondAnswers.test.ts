import type { RequestId } from "@arbutusdoor/common";
import { expect, test } from "vitest";
import { createBackendRequest } from "./support/createBackendRequest.js";
import { createTraffic } from "./support/createTraffic.js";
import { readAnswer } from "./support/readAnswer.js";
import { ScriptedServer } from "./support/scriptedServer.js";

const REFUSAL = "HTTP/1.1 503 Service Unavailable\r\narbutusdoor-not-run: shed\r\ncontent-length: 0\r\n\r\n";

function createAnswer(id: string, body: string): string {
    return `HTTP/1.1 200 OK\r\narbutusdoor-request-id: ${id}\r\ncontent-length: ${body.length}\r\n\r\n${body}`;
}

// Guards against work that may run once running twice: the second copy of a refusal was taken for the refusal of another request.
test("a second copy of a refusal is not taken for the refusal of the next request", async () => {
    const server = await ScriptedServer.start((socket, count) => {
        const isFirst = server.sockets.indexOf(socket) === 0;
        socket.write(
            count === 1 ? REFUSAL : isFirst ? REFUSAL + createAnswer("r2", "two") : createAnswer("r2", "two"),
        );
    });
    const { traffic } = createTraffic(1);
    const refused = await traffic.send(createBackendRequest(server.address, { id: "r1" as RequestId }));
    const next = await traffic.send(createBackendRequest(server.address, { id: "r2" as RequestId }));
    expect(refused).toMatchObject({ kind: "notRun", cause: "shed" });
    expect(await readAnswer(next)).toMatchObject({ status: 200, body: "two" });
    expect(server.sockets).toHaveLength(2);
});

// Guards against an answer that reaches another caller.
test("an answer that bears the id of another request is not accepted", async () => {
    const server = await ScriptedServer.start((socket, count) => {
        socket.write(createAnswer("r1", "one"));
        if (count === 2) {
            socket.write(createAnswer("r2", "two"));
        }
    });
    const { traffic } = createTraffic(1);
    const first = await traffic.send(createBackendRequest(server.address, { id: "r1" as RequestId }));
    expect(await readAnswer(first)).toMatchObject({ body: "one" });
    const second = await traffic.send(createBackendRequest(server.address, { id: "r2" as RequestId }));
    expect(second).toMatchObject({ kind: "unknown", cause: "connectionLost" });
});

test("an answer without an id is accepted, for servers that do not repeat it", async () => {
    const server = await ScriptedServer.start(socket =>
        socket.write("HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok")
    );
    const { traffic } = createTraffic(1);
    const answer = await traffic.send(createBackendRequest(server.address, { id: "r1" as RequestId }));
    expect(await readAnswer(answer)).toMatchObject({ status: 200, body: "ok" });
});
