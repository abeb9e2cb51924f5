import {
    type DataCentreId,
    type HostId,
    type HostIncarnation,
    Logger,
    Metrics,
    RandomSource,
    SystemClock,
} from "@arbutusdoor/common";
import { createHash, randomBytes } from "node:crypto";
import { once } from "node:events";
import { Readable } from "node:stream";
import { buffer } from "node:stream/consumers";
import { afterEach, expect, test, vi } from "vitest";
import { WebSocket } from "ws";
import { Mesh } from "../src/mesh.js";
import { MeshSettings } from "../src/settings/meshSettings.js";
import { WsTransport } from "../src/transport/wsTransport.js";
import { createRequest } from "./helpers/createRequest.js";
import { RecordingHandler } from "./helpers/recordingHandler.js";

const LOOPBACK = "127.0.0.1";
const BODY_BYTES = 8 * 1_024 * 1_024;
const meshes: Mesh[] = [];

afterEach(async () => {
    await Promise.all(meshes.splice(0).map(mesh => mesh.close()));
});

async function start(name: string, seeds: readonly string[] = []) {
    const clock = new SystemClock();
    const metrics = new Metrics();
    const lines: string[] = [];
    const handler = new RecordingHandler(line => lines.push(line), async (_request, body) => {
        return { kind: "answered", status: 200, headers: {}, body: body ?? Readable.from([]) };
    });
    const mesh = new Mesh({
        self: {
            host: name as HostId,
            incarnation: `${name}1` as HostIncarnation,
            dataCentre: "north" as DataCentreId,
            address: `${LOOPBACK}:0`,
        },
        listen: { host: LOOPBACK, port: 0 },
        seeds,
        clock,
        random: new RandomSource(1),
        logger: new Logger(clock, name, "silent"),
        metrics,
        settings: MeshSettings.parse({ heartbeatTimeoutMs: 5_000, greetingTimeoutMs: 5_000 }),
        handler,
    });
    const address = await mesh.start();
    meshes.push(mesh);
    return { mesh, handler, metrics, address, lines };
}

async function startPair() {
    const b = await start("b");
    const a = await start("a", [b.address]);
    await vi.waitFor(() => expect(a.mesh.listPeers()).toHaveLength(1), 10_000);
    return { a, b };
}

function hash(bytes: Buffer): string {
    return createHash("sha256").update(bytes).digest("hex");
}

test("a body of 8 MB is transferred unchanged in both directions over sockets", async () => {
    const { a } = await startPair();
    const sent = randomBytes(BODY_BYTES);
    const signal = new AbortController().signal;
    const answer = await a.mesh.relay("b" as HostId, createRequest("a1-1"), Readable.from([sent]), signal);
    expect(answer.kind).toBe("answered");
    const received = await buffer((answer as Extract<typeof answer, { kind: "answered"; }>).body);
    expect(received.length).toBe(BODY_BYTES);
    expect(hash(received)).toBe(hash(sent));
});

test("a cancellation reaches the handler over sockets", async () => {
    const { a, b } = await startPair();
    const controller = new AbortController();
    b.handler.answer = async (_request, _body, signal) => {
        controller.abort();
        await once(signal, "abort");
        return { kind: "answered", status: 200, headers: {}, body: Readable.from([]) };
    };
    const answer = await a.mesh.relay("b" as HostId, createRequest("a1-1"), undefined, controller.signal);
    expect(answer).toMatchObject({ kind: "refusal", refusal: { reason: "callerGone" } });
    await vi.waitFor(() => expect(b.lines).toContain("cancelled a1-1"), 10_000);
});

test("a malformed handshake and an oversized frame end only their connection", async () => {
    const { a, b } = await startPair();
    for (const bytes of [Buffer.from("{}"), Buffer.alloc(2_000_000)]) {
        const socket = new WebSocket(`ws://${b.address}`);
        socket.on("error", () => {});
        await once(socket, "open");
        socket.send(bytes);
        await once(socket, "close");
    }
    const getMalformed = () => b.metrics.getCount("arbutusdoor_mesh_frames_malformed_total");
    await vi.waitFor(() => expect(getMalformed()).toBe(2), 10_000);
    expect(a.mesh.send("b" as HostId, "still here")).toBe(true);
    await vi.waitFor(() => expect(b.lines).toContain("control from a: \"still here\""), 10_000);
});

test.each([["127.1.2.3:70000"], ["300.1.1.1:80"], [""]])(
    "a dial to %j, which is no address, fails like one that nobody answers",
    async address => {
        expect(await new WsTransport(1_000).dial(address, 1_024)).toBeUndefined();
    },
);
