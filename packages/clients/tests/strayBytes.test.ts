import { HttpClient } from "@arbutusdoor/clients";
import { expect, onTestFinished, test } from "vitest";
import { createAdapterOptions } from "./support/createAdapterOptions.js";
import { ScriptedServer } from "./support/scriptedServer.js";

const CALLS = 200;
const FIELD_BYTES = 1_024;

// Only bytes that belong to no answer are limited, not all bytes that a connection receives.
test("many answers without a body use one connection, whatever the total size of their heads", async () => {
    const answer = `HTTP/1.1 200 OK\r\na: ${"b".repeat(FIELD_BYTES)}\r\ncontent-length: 0\r\n\r\n`;
    const server = await ScriptedServer.start(socket => socket.write(answer));
    const client = new HttpClient({
        ...createAdapterOptions({ concurrency: 1, requestsPerSecond: 1_000_000 }),
        name: "test",
        baseUrl: `http://${server.address}`,
    });
    onTestFinished(() => client.close());
    for (let call = 0; call < CALLS; call++) {
        expect((await client.call({ method: "GET", path: "/" })).kind).toBe("answer");
    }
    expect(server.sockets).toHaveLength(1);
});
