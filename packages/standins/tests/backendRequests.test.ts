import { Readable } from "node:stream";
import { expect, test } from "vitest";
import { waitUntil } from "../../clients/tests/support/waitUntil.js";
import { newSlice } from "./support/newSlice.js";
import { ServerSession } from "./support/serverSession.js";

test("a request is answered with what came in: its id, its key and its body's hash", async () => {
    const session = await ServerSession.start({ serviceMs: 0 });
    const headers = { "idempotency-key": "k1" };
    const body = Readable.from([Buffer.from("gust "), Buffer.from("log")]);
    const upload = session.request({ method: "POST", path: "/station/4?day=2", headers, body });
    await waitUntil(() => session.list("run").length === 1);
    const step = setInterval(() => session.clock.advance(1), 1);
    const long = session.request({ path: "/beach/1?bytes=12" });
    const answers = [await upload, await long];
    clearInterval(step);
    expect(answers).toMatchSnapshot();
});

test("more requests than slots wait, more than may wait are shed, and late ones are not begun", async () => {
    const session = await ServerSession.start({ slots: 1, waitingLimit: 2 });
    const caller = new AbortController();
    const first = session.request({ path: "/first" });
    await session.untilDue(10);
    const late = session.request({ path: "/late", headers: {}, deadline: 10_000 });
    await waitUntil(() => session.server.waitingCount === 1);
    const left = session.request({ path: "/left", signal: caller.signal });
    await waitUntil(() => session.server.waitingCount === 2);
    const shed = await session.request({ path: "/shed" });
    caller.abort();
    await waitUntil(() => session.server.waitingCount === 1);
    session.clock.advance(10_000);
    const answers = [await first, await late, await left, shed];
    expect({ answers, journal: session.read() }).toMatchSnapshot();
});

test("work ends when its caller leaves, and when its deadline passes", async () => {
    const session = await ServerSession.start({ serviceMs: 60_000 });
    const caller = new AbortController();
    const left = session.request({ path: "/left", signal: caller.signal });
    const overdue = session.request({ path: "/overdue", deadline: 10_000 });
    await waitUntil(() => session.list("run").length === 2);
    caller.abort();
    await waitUntil(() => session.list("run").some(run => run.result === "cancelled"));
    session.clock.advance(10_000);
    expect([await left, await overdue]).toEqual(["unknown", "unknown"]);
    expect(session.list("run").map(run => [run.path, run.result, run.ended])).toMatchSnapshot();
});

test("an upload that breaks off is cancelled work, never completed", async () => {
    const session = await ServerSession.start();
    const body = new Readable({ read: () => undefined });
    body.push("half");
    const upload = session.request({ method: "POST", headers: { "content-length": "8" }, body });
    await waitUntil(() => session.list("run").length === 1);
    body.destroy(new Error("caller gone"));
    expect(await upload).toBe("unknown");
    await waitUntil(() => session.list("run").every(run => run.result !== "running"));
    expect(session.list("run")).toMatchObject([{ result: "cancelled", bodyBytes: 4 }]);
});

test("faults: an answer lost after the work, shedding, false load figures", async () => {
    const session = await ServerSession.start({ serviceMs: 0 });
    await session.server.setFaults({ answerLostAfterCommit: 1, liesAboutLoad: true });
    const lost = session.request();
    await session.untilDue(0);
    session.clock.advance(1);
    const outcomes = [await lost];
    const slow = session.request({ path: "/beach/1?delay=100" });
    await session.untilDue(101);
    const lie = await (await fetch(`http://${session.server.address}/load`)).json();
    await session.server.setFaults({ sheddingRate: 1 });
    const truth = await (await fetch(`http://${session.server.address}/load`)).json();
    outcomes.push(await session.request());
    session.clock.advance(100);
    outcomes.push((await slow as { status: number; }).status);
    expect({ outcomes, lie, truth, results: session.list("run").map(run => run.result) }).toMatchSnapshot();
});

test("a graceful stop says so, goes on while it holds slices, cuts nothing off and ends", async () => {
    const session = await ServerSession.start({
        leaveNoticeMs: 1_000,
        leaveLimitMs: 5_000,
        serviceMs: 2_000,
    });
    await session.hold(60_000, newSlice("a", 1));
    const left = session.server.leave();
    const { isLeaving } = await session.order({});
    session.clock.advance(1_500);
    const kept = session.request({ slice: newSlice("a", 1) });
    await waitUntil(() => session.list("run").length === 1);
    const fence = await session.order({ fence: [newSlice("a", 2)] });
    await waitUntil(() => {
        session.clock.advance(50);
        return session.server.isRefusingNew;
    });
    const refused = await session.request();
    session.clock.advance(2_000);
    const answered = await kept as { status: number; };
    const leaving = setInterval(() => session.clock.advance(50), 1);
    await left;
    clearInterval(leaving);
    const after = await session.request();
    expect([isLeaving, fence.heldCount, refused, answered.status, after]).toMatchSnapshot();
});
