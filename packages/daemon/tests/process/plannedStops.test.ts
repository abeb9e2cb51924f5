import type { ServerJournal } from "@arbutusdoor/standins";
import { afterAll, beforeAll, expect, test } from "vitest";
import { FailureRun } from "../../../../scripts/failureRun.js";
import { ConnectedCaller } from "../../../gateway/tests/support/connectedCaller.js";
import { listInterrupted } from "./support/listInterrupted.js";
import { uploadSlowly } from "./support/uploadSlowly.js";

const run = new FailureRun();
const NO_NEW_WORK_MS = 2_000;
const SLOW_UPLOAD = { pieces: 25, pieceBytes: 20_000, pauseMs: 120 };
const SLOW_UPLOADS = 4;

beforeAll(() => run.start());
afterAll(() => run.stop());

test("a rolling restart of the entry hosts under load, with slow uploads in flight, interrupts no request", async () => {
    for (const name of [...run.system.daemons.keys()]) {
        const { callers } = run.system.daemons.get(name)!;
        const others = run.listLiveHosts().filter(host => host.name !== name);
        const loadOnOthers = run.startLoad({ entryHosts: others.map(host => host.callers) });
        const loadOnHost = run.startLoad({ entryHosts: [callers] });
        const uploads = startUploads(callers, name);
        await run.clock.sleep(500);
        expect(await run.stopHost(name, loadOnHost.stop)).toBe(0);
        expect(await uploads).toEqual(Array(SLOW_UPLOADS).fill("answered"));
        await run.restartHost(name);
        await run.waitUntilServed();
        await loadOnOthers.stop();
    }
    expect(listInterrupted(run.calls)).toEqual([]);
    expect((await run.judge()).findings).toEqual([]);
});

// Guards against a process that a second signal ends under its requests.
test("further signals during a planned stop interrupt no request", async () => {
    const { callers, name } = run.listLiveHosts()[0]!;
    const { program } = run.system.daemons.get(name)!;
    const uploads = startUploads(callers, "signals");
    await run.clock.sleep(500);
    program.signal("SIGTERM");
    await run.clock.sleep(300);
    program.signal("SIGTERM");
    program.signal("SIGINT");
    program.signal("SIGHUP");
    expect(await uploads).toEqual(Array(SLOW_UPLOADS).fill("answered"));
    await program.waitForEnd();
    expect(program.exitCode).toBe(0);
    await run.restartHost(name);
    await run.waitUntilServed();
});

// Guards against once-only requests that were read and got no answer, and connections that stay usable until the process ends (LOST around SIGTERM).
test("a host that stops answers requests that were sent together, and closes connections that were never used", async () => {
    const { callers, name } = run.listLiveHosts()[0]!;
    const { program } = run.system.daemons.get(name)!;
    const port = Number(callers.split(":")[1]);
    const uploads = startUploads(callers, "connections");
    const [together, unused] = [new ConnectedCaller(port), new ConnectedCaller(port)];
    await run.clock.sleep(700);
    program.signal("SIGTERM");
    await run.clock.sleep(100);
    together.send("GET /gustboard/key-0/read HTTP/1.1\r\nHost: gustboard.example\r\n\r\n".repeat(3));
    await run.clock.sleep(1_000);
    expect([together.statuses, together.closings, together.hasEnded]).toEqual([
        ["200", "200", "200"],
        1,
        true,
    ]);
    expect([unused.hasEnded, program.hasEnded]).toEqual([true, false]);
    expect(await uploads).toEqual(Array(SLOW_UPLOADS).fill("answered"));
    await program.waitForEnd();
    expect(program.exitCode).toBe(0);
    await run.restartHost(name);
    await run.waitUntilServed();
});

test("a keyed backend server that stops gets no new work after 2 s, and its keys always have an owner", async () => {
    const load = run.startLoad();
    const { server = "" } = (await run.explain("gustboard", "key-0"))!;
    await run.clock.sleep(500);
    const stoppedAt = run.clock.wallTime();
    expect(listLateRuns(await run.stopServer(server), stoppedAt)).toEqual([]);
    await run.waitUntilServed();
    const entries = await load.stop();
    expect(entries.filter(entry => entry.kind === "read" && entry.outcome !== "answered")).toEqual([]);
    expect(listInterrupted(entries)).toEqual([]);
    await run.system.restartServer(server);
    expect((await run.judge()).findings).toEqual([]);
});

test("a pooled backend server that stops finishes its uploads and gets no new ones", async () => {
    const host = run.listLiveHosts()[0]!;
    const load = run.startLoad();
    const uploads = startUploads(host.callers, "pooled");
    await run.clock.sleep(500);
    const stoppedAt = run.clock.wallTime();
    const journal = await run.stopServer("loghold-1");
    expect(await uploads).toEqual(Array(SLOW_UPLOADS).fill("answered"));
    expect(listLateRuns(journal, stoppedAt)).toEqual([]);
    expect(listInterrupted(await load.stop())).toEqual([]);
    await run.system.restartServer("loghold-1");
    await run.waitUntilServed();
    expect((await run.judge()).findings).toEqual([]);
});

test("a drained backend server gets no new work after 2 s and is used again with the next configuration version", async () => {
    const load = run.startLoad();
    const { server = "" } = (await run.explain("agenda", "key-0"))!;
    const drained = await run.runTool(["drain", server]);
    expect([drained.exitCode, drained.lines]).toEqual([0, [expect.stringContaining("version 2")]]);
    const drainedAt = run.clock.wallTime();
    await run.clock.sleep(2 * NO_NEW_WORK_MS);
    expect(listLateRuns(await run.readServerJournal(server), drainedAt)).toEqual([]);
    expect((await run.submit(2)).exitCode).toBe(0);
    await run.waitUntilServed();
    const entries = await load.stop();
    expect(entries.filter(entry => entry.kind === "read" && entry.outcome !== "answered")).toEqual([]);
    expect(listInterrupted(entries)).toEqual([]);
    expect((await run.judge()).findings).toEqual([]);
});

test("all entry hosts stop gracefully at once", async () => {
    const codes = await Promise.all(
        [...run.system.daemons.keys()].map(name => run.stopHost(name, async () => {})),
    );
    expect(codes).toEqual([0, 0, 0]);
});

function startUploads(entryHost: string, name: string): Promise<string[]> {
    const indices = Array.from({ length: SLOW_UPLOADS }, (_, index) => index);
    return Promise.all(
        indices.map(index => uploadSlowly(entryHost, `/loghold/slow-${name}-${index}`, SLOW_UPLOAD)),
    );
}

/** Lists the requests that a server started more than 2 s after it was told to stop. */
function listLateRuns(journal: ServerJournal, stoppedAt: number) {
    return journal.entries.filter(entry =>
        entry.kind === "run" && entry.started > stoppedAt + NO_NEW_WORK_MS
    );
}
