import type { HostId, RequestId } from "@arbutusdoor/common";
import { PassThrough, Readable } from "node:stream";
import { expect, test } from "vitest";
import { encodeMessage } from "../src/protocol/encodeMessage.js";
import { createRequest } from "./helpers/createRequest.js";
import { describeFrame } from "./helpers/describeFrame.js";
import { MeshSimulation } from "./helpers/meshSimulation.js";

/** Starts a simulation in which a has a link to b. */
async function startPair(settings = {}) {
    const simulation = new MeshSimulation();
    const a = await simulation.start("a", { seeds: ["b:1"], settings });
    const b = await simulation.start("b", { settings });
    await simulation.advance(100);
    simulation.record("linked");
    return { simulation, a, b };
}

function isAnswer(bytes: Uint8Array): boolean {
    return describeFrame(bytes).some(line => line.startsWith("answer"));
}

function replaceId(bytes: Uint8Array, id: string, other: string): Uint8Array {
    return Buffer.from(Buffer.from(bytes).toString("latin1").replace(id, other), "latin1");
}

/** Drops the first frame with a message of that kind and cuts the connection; later frames pass. */
function cutAt(simulation: MeshSimulation, kind: string): void {
    simulation.network.fault = (from, to, bytes) => {
        if (!describeFrame(bytes).some(line => line.startsWith(kind))) {
            return [bytes];
        }
        simulation.record(`the frame is lost and the link between ${from} and ${to} breaks`);
        simulation.network.fault = (_from, _to, later) => [later];
        simulation.network.schedule(() => simulation.network.cut(from, to));
        return [];
    };
}

test("the link breaks before the head is sent: not run", async () => {
    const { simulation, a } = await startPair();
    const done = simulation.relay(a, "b", "a1-1");
    simulation.network.cut("a", "b");
    await simulation.advance(200);
    await done;
    await expect(simulation.trace).toMatchFileSnapshot("golden/breakBeforeHead.txt");
});

test("the link breaks after the head was sent and never received: not run, and a late copy is refused", async () => {
    const { simulation, a } = await startPair();
    cutAt(simulation, "request");
    void simulation.relay(a, "b", "a1-1");
    await simulation.advance(200);
    simulation.record("a late copy");
    void simulation.relay(a, "b", "a1-1");
    await simulation.advance(10);
    await expect(simulation.trace).toMatchFileSnapshot("golden/breakAfterHead.txt");
});

test("the link breaks while the request runs: unknown, once it has ended", async () => {
    const { simulation, a } = await startPair();
    void simulation.relay(a, "b", "a1-1", { path: "/wait/150" });
    await simulation.advance(20);
    simulation.network.cut("a", "b");
    await simulation.advance(300);
    await expect(simulation.trace).toMatchFileSnapshot("golden/breakWhileRunning.txt");
});

test("a request that can be repeated elsewhere is unknown at once when its link breaks", async () => {
    const { simulation, a } = await startPair();
    void simulation.relay(a, "b", "a1-1", { path: "/wait/150", isRepeatable: true });
    await simulation.advance(20);
    simulation.network.cut("a", "b");
    await simulation.advance(20);
    await expect(simulation.trace).toMatchFileSnapshot("golden/breakRepeatable.txt");
});

test("the answer is lost after the run: unknown", async () => {
    const { simulation, a } = await startPair();
    cutAt(simulation, "answer");
    void simulation.relay(a, "b", "a1-1", { path: "/wait/5" });
    await simulation.advance(200);
    await expect(simulation.trace).toMatchFileSnapshot("golden/breakBeforeAnswer.txt");
});

test("the peer's refusal is lost: a status query still returns not run", async () => {
    const { simulation, a } = await startPair();
    cutAt(simulation, "refusal");
    void simulation.relay(a, "b", "a1-1", { path: "/refuse" });
    await simulation.advance(200);
    await expect(simulation.trace).toMatchFileSnapshot("golden/breakBeforeRefusal.txt");
});

test("the link breaks within the request's body and within the answer's", async () => {
    const { simulation, a, b } = await startPair();
    const body = new PassThrough();
    body.write("first half");
    b.handler.answer = async (request, requestBody) => {
        requestBody?.on("data", (chunk: Buffer) => simulation.record(`b: reads "${chunk}" of ${request.id}`));
        requestBody?.on(
            "error",
            error => simulation.record(`b: the body of ${request.id} broke (${error.name})`),
        );
        const answer = new PassThrough();
        answer.write("half an answer");
        return { kind: "answered", status: 200, headers: {}, body: answer };
    };
    void simulation.relay(a, "b", "a1-1", { body });
    await simulation.advance(20);
    simulation.network.cut("a", "b");
    await simulation.advance(100);
    await expect(simulation.trace).toMatchFileSnapshot("golden/breakWithinBodies.txt");
});

test("the peer restarts after it was sent the request: unknown", async () => {
    const { simulation, a } = await startPair();
    cutAt(simulation, "request");
    void simulation.relay(a, "b", "a1-1");
    await simulation.settle();
    await simulation.start("b", { incarnation: "b2" });
    await simulation.advance(200);
    await expect(simulation.trace).toMatchFileSnapshot("golden/peerRestarts.txt");
});

test("the peer never reconnects after it was sent the request: unknown after the query timeout", async () => {
    const { simulation, a } = await startPair({ askTimeoutMs: 300 });
    cutAt(simulation, "request");
    simulation.network.unreachable.add("b:1");
    void simulation.relay(a, "b", "a1-1");
    await simulation.advance(400);
    await expect(simulation.trace).toMatchFileSnapshot("golden/peerStaysAway.txt");
});

test("late, repeated, reordered and misdirected answers reach only the callers of their requests", async () => {
    const { simulation, a } = await startPair({ deadlineGraceMs: 0 });
    simulation.record("in another order");
    void simulation.relay(a, "b", "a1-1", { path: "/wait/20" });
    void simulation.relay(a, "b", "a1-2", { path: "/wait/10" });
    await simulation.advance(50);
    simulation.record("twice");
    simulation.network.fault = (from, _to, bytes) => from === "b" ? [bytes, bytes] : [bytes];
    void simulation.relay(a, "b", "a1-3", { path: "/refuse" });
    await simulation.advance(50);
    simulation.network.fault = (_from, _to, bytes) => [bytes];
    simulation.record("late");
    void simulation.relay(a, "b", "a1-4", { path: "/wait/5", deadline: 10 });
    simulation.network.hold("b", "a");
    await simulation.advance(20);
    simulation.network.release("b", "a");
    await simulation.advance(20);
    simulation.record("with another request's id");
    simulation.network.fault = (
        _from,
        _to,
        bytes,
    ) => [isAnswer(bytes) ? replaceId(bytes, "a1-5", "a1-9") : bytes];
    void simulation.relay(a, "b", "a1-5", { deadline: 10 });
    await simulation.advance(20);
    expect(a.metrics.getCount("arbutusdoor_mesh_answers_orphaned_total")).toBeGreaterThan(0);
    await expect(simulation.trace).toMatchFileSnapshot("golden/answersOutOfOrder.txt");
});

test("a chunk of an answer that arrives twice truncates the answer and never corrupts it", async () => {
    const { simulation, a } = await startPair();
    simulation.network.fault = (_from, _to, bytes) =>
        describeFrame(bytes).some(line => line.startsWith("data")) ? [bytes, bytes] : [bytes];
    void simulation.relay(a, "b", "a1-1");
    await simulation.advance(10);
    await expect(simulation.trace).toMatchFileSnapshot("golden/dataTwice.txt");
});

test("a request id that was received before is refused and never run twice", async () => {
    const { simulation, a, b } = await startPair();
    const c = await simulation.start("c", { seeds: ["b:1"] });
    await simulation.advance(100);
    void simulation.relay(a, "b", "a1-1", { path: "/wait/20" });
    void simulation.relay(a, "b", "a1-1");
    void simulation.relay(c, "b", "a1-1");
    await simulation.advance(50);
    void simulation.relay(a, "b", "a1-1");
    await simulation.advance(10);
    expect(simulation.trace.split("\n").filter(line => line.includes("runs a1-1"))).toHaveLength(1);
    expect(b.metrics.getCount("arbutusdoor_mesh_requests_refused_total", { reason: "duplicateRequest" }))
        .toBe(2);
    await expect(simulation.trace).toMatchFileSnapshot("golden/duplicateRequest.txt");
});

test("messages after the one that makes a link lost are ignored", async () => {
    const { simulation, a } = await startPair();
    const ask = encodeMessage({ kind: "ask", id: "a1-1" as RequestId, link: 1, stream: 1 });
    const request = encodeMessage({ kind: "request", stream: 1, request: createRequest("a1-2") });
    simulation.network.fault = () => [Buffer.concat([ask, request])];
    a.mesh.broadcast("replaced by the frame above");
    await simulation.advance(3);
    expect(simulation.trace).toContain("b: log peerLost peer=a reason=the peer lost it");
    expect(simulation.trace).not.toContain("runs a1-2");
});

test("a request that is no longer recorded is never reported as not received", async () => {
    const { simulation, a } = await startPair({ requestMemory: 1 });
    cutAt(simulation, "answer 1 a1-1");
    void simulation.relay(a, "b", "a1-1");
    await simulation.settle();
    void simulation.relay(a, "b", "a1-2", { path: "/wait/2" });
    await simulation.advance(200);
    expect(simulation.trace).toContain("caller of a1-1: unknown relayLost");
    expect(simulation.trace).not.toContain("caller of a1-1: notRun");
});

test("a cancellation reaches the handler, and the answer is not awaited", async () => {
    const { simulation, a } = await startPair();
    const controller = new AbortController();
    void simulation.relay(a, "b", "a1-1", { path: "/wait/50", signal: controller.signal });
    void simulation.relay(a, "b", "a1-2", { path: "/wait/50" });
    await simulation.advance(10);
    controller.abort();
    const early = new AbortController();
    void simulation.relay(a, "b", "a1-3", { signal: early.signal });
    early.abort();
    await simulation.advance(60);
    await expect(simulation.trace).toMatchFileSnapshot("golden/cancel.txt");
});

test("a graceful shutdown refuses new requests and completes those in progress", async () => {
    const { simulation, a, b } = await startPair();
    void simulation.relay(a, "b", "a1-1", { path: "/wait/50" });
    await simulation.advance(10);
    simulation.record("b closes");
    void b.mesh.close();
    void simulation.relay(a, "b", "a1-2");
    await simulation.advance(100);
    await expect(simulation.trace).toMatchFileSnapshot("golden/gracefulClose.txt");
});

// Guards against refusals that were queued behind other messages and dropped with the link, so that their requests counted as possibly run.
test("a graceful shutdown sends what it has answered before it closes the links", async () => {
    const { simulation, a, b } = await startPair({ socketBufferBytes: 1_024 });
    simulation.network.hold("b", "a");
    b.mesh.send("a" as HostId, "x".repeat(2_048));
    await simulation.advance(5);
    void simulation.relay(a, "b", "a1-1", { path: "/refuse" });
    await simulation.advance(5);
    void b.mesh.close();
    await simulation.advance(50);
    simulation.network.release("b", "a");
    await simulation.advance(50);
    expect(simulation.trace).toContain("caller of a1-1: notRun queueFull");
});

test("the host that decides on a link loses it before the other end sees it open: still certainly not received", async () => {
    const simulation = new MeshSimulation();
    const a = await simulation.start("a", { seeds: ["b:1"] });
    await simulation.start("b");
    cutAt(simulation, "open");
    await simulation.advance(53);
    void simulation.relay(a, "b", "a1-1");
    await simulation.settle();
    await simulation.advance(200);
    await expect(simulation.trace).toMatchFileSnapshot("golden/breakBeforeOpen.txt");
});

test("a handler that does not read holds back only its own upload, and control messages are interleaved", async () => {
    const { simulation, a, b } = await startPair();
    const produced = { bytes: 0 };
    const done = new AbortController();
    b.handler.answer = async (request, body) => {
        if (request.path === "/upload") {
            await new Promise(resolve => done.signal.addEventListener("abort", resolve));
        }
        const length = (await body?.toArray() ?? []).reduce(
            (sum: number, chunk: Buffer) => sum + chunk.length,
            0,
        );
        return {
            kind: "answered",
            status: 200,
            headers: {},
            body: Readable.from([Buffer.from(`read ${length}`)]),
        };
    };
    void simulation.relay(a, "b", "a1-1", { path: "/upload", body: Readable.from(produce(produced)) });
    await simulation.advance(20);
    expect(produced.bytes).toBeLessThan(512 * 1_024);
    void simulation.relay(a, "b", "a1-2", { body: Readable.from([Buffer.from("small")]) });
    await simulation.advance(10);
    expect(simulation.trace).toContain("caller of a1-2: answered 200 \"read 5\"");
    done.abort();
    await simulation.advance(2);
    a.mesh.broadcast("between");
    await simulation.advance(200);
    expect(simulation.trace).toContain("caller of a1-1: answered 200 \"read 10000000\"");
    expect(simulation.trace.indexOf("control \"between\"")).toBeLessThan(
        simulation.trace.indexOf("end 1 length=10000000"),
    );
});

test("a slow reader holds back only its own stream, within the window", async () => {
    const { simulation, a, b } = await startPair();
    const produced = { bytes: 0 };
    b.handler.answer = async request => {
        const isLarge = request.path === "/large";
        const body = isLarge ? Readable.from(produce(produced)) : Readable.from([Buffer.from("small")]);
        return { kind: "answered", status: 200, headers: {}, body };
    };
    const signal = new AbortController().signal;
    const large = await Promise.all([
        a.mesh.relay("b" as HostId, createRequest("a1-1", { path: "/large" }), undefined, signal),
        simulation.advance(50),
    ]);
    void simulation.relay(a, "b", "a1-2");
    await simulation.advance(10);
    expect(simulation.trace).toContain("caller of a1-2: answered 200 \"small\"");
    expect(produced.bytes).toBeGreaterThan(200_000);
    expect(produced.bytes).toBeLessThan(512 * 1_024);
    expect(large[0].kind).toBe("answered");
});

async function* produce(produced: { bytes: number; }): AsyncGenerator<Buffer> {
    for (let chunk = 0; chunk < 1_000; chunk++) {
        produced.bytes += 10_000;
        yield Buffer.alloc(10_000);
    }
}
