import { once } from "node:events";
import { get, type IncomingMessage } from "node:http";
import { afterAll, beforeAll, expect, test } from "vitest";
import { FailureRun } from "../../../../scripts/failureRun.js";
import { listInterrupted } from "./support/listInterrupted.js";
import { uploadSlowly } from "./support/uploadSlowly.js";

const run = new FailureRun();
const LONG_ANSWER_BYTES = 60_000_000;
const UPLOADS = 50;
const UPLOAD = { pieces: 20, pieceBytes: 1_000_000, pauseMs: 10 };
const HELD_MEMORY_BYTES = 300_000_000;
const PAUSE_MS = 2_000;
const SAMPLE_MS = 100;
const CONFLICT_EXIT_CODE = 3;

beforeAll(() => run.start());
afterAll(() => run.stop());

test("a slow reader of a long answer gets all of it without unbounded buffering, and doesn't delay other requests", async () => {
    const { callers, name } = run.listLiveHosts()[0]!;
    const before = await getMemory(name);
    const load = run.startLoad();
    const path = `/gustboard/key-0/read?bytes=${LONG_ANSWER_BYTES}`;
    const request = get(`http://${callers}${path}`);
    const [answer] = await once(request, "response") as [IncomingMessage];
    answer.pause();
    await run.clock.sleep(PAUSE_MS);
    const held = await getMemory(name) - before;
    let bytes = 0;
    for await (const chunk of answer) {
        bytes += (chunk as Buffer).length;
    }
    expect([answer.headers["arbutusdoor-outcome"], bytes]).toEqual(["answered", LONG_ANSWER_BYTES]);
    expect(held).toBeLessThan(LONG_ANSWER_BYTES);
    expect(listInterrupted(await load.stop())).toEqual([]);
    expect((await run.judge()).findings).toEqual([]);
});

test("during fifty concurrent uploads of 20 MB, the entry host's memory stays bounded and reads are answered", async () => {
    const { callers, name } = run.listLiveHosts()[0]!;
    const before = await getMemory(name);
    const load = run.startLoad({ uploads: [], filings: [] });
    const uploads = Promise.all(
        Array.from({ length: UPLOADS }, (_, index) => uploadSlowly(callers, `/loghold/big-${index}`, UPLOAD)),
    );
    let isOver = false;
    void uploads.finally(() => {
        isOver = true;
    });
    let highest = before;
    while (!isOver) {
        highest = Math.max(highest, await getMemory(name));
        await run.clock.sleep(SAMPLE_MS);
    }
    expect(await uploads).toEqual(Array(UPLOADS).fill("answered"));
    expect(highest - before).toBeLessThan(HELD_MEMORY_BYTES);
    const entries = await load.stop();
    expect(entries.length).toBeGreaterThan(0);
    expect(entries.filter(entry => entry.outcome !== "answered")).toEqual([]);
    expect((await run.judge()).findings).toEqual([]);
});

test("of two operators who submit concurrently on the same base, one is refused with the differences", async () => {
    const load = run.startLoad();
    const outcomes = await Promise.all([run.submit(1, 5), run.submit(1, 6)]);
    const [taken, refused] = outcomes.sort((left, right) => left.exitCode! - right.exitCode!);
    expect([taken!.exitCode, refused!.exitCode]).toEqual([0, CONFLICT_EXIT_CODE]);
    expect(taken!.lines.join("\n")).toContain("version 2");
    expect(refused!.lines.join("\n")).toContain("slots");
    expect((await run.runTool(["status", "--wait"])).exitCode).toBe(0);
    expect((await run.getStatus()).configuration?.version).toBe(2);
    await run.waitUntilServed();
    await load.stop();
    expect((await run.judge()).findings).toEqual([]);
});

function getMemory(host: string): Promise<number> {
    return run.getMetric(host, "arbutusdoor_resident_memory_bytes");
}
