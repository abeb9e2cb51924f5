import { afterAll, beforeAll, expect, test } from "vitest";
import { FailureRun } from "../../../../scripts/failureRun.js";

const run = new FailureRun();
const CONFLICT_EXIT_CODE = 3;

beforeAll(() => run.start());
afterAll(() => run.stop());

test("of two operators who submit on one base at once, one is refused with the differences", async () => {
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
