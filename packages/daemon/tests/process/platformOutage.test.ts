import type { CallerEntry } from "@arbutusdoor/standins";
import { afterAll, beforeAll, expect, test } from "vitest";
import { FailureRun } from "../../../../scripts/failureRun.js";

const run = new FailureRun();
const OUTAGE_MS = 3_000;
const LOST_ANSWERS = 20;

beforeAll(() => run.start());
afterAll(() => run.stop());

test("during an outage of the table and the object store, reads and uploads are answered and filings refused as not run", async () => {
    await setFaults(["tableService", "objectStore"], { down: "refused" });
    const load = run.startLoad();
    await run.clock.sleep(OUTAGE_MS);
    const entries = await load.stop();
    await setFaults(["tableService", "objectStore"], {});
    await run.waitUntilServed();
    const others = entries.filter(entry => entry.kind !== "once");
    expect(others.length).toBeGreaterThan(0);
    expect(others.filter(entry => entry.outcome !== "answered")).toEqual([]);
    const filings = entries.filter(entry => entry.kind === "once");
    expect(filings.length).toBeGreaterThan(0);
    expect(listOutcomes(filings)).toEqual(["notRun"]);
    expect((await run.judge()).findings).toEqual([]);
});

test("during an outage of the platform, a new daemon serves requests and a killed one interrupts none", async () => {
    const load = run.startLoad();
    await run.clock.sleep(500);
    await setFaults(["tableService", "objectStore", "hostList"], { down: "unavailable" });
    const newHost = await run.system.addDaemon("north-4", "north");
    await run.waitFor("the configuration from the peers", async () => {
        const status = await run.getStatus(newHost);
        return status.configuration?.version === 1 || undefined;
    });
    const killed = run.system.daemons.get("north-1")!;
    await killed.program.kill();
    await run.waitUntilServed();
    const loadOnNew = run.startLoad({ entryHosts: [newHost.callers] });
    await run.clock.sleep(OUTAGE_MS);
    const entries = await loadOnNew.stop();
    await setFaults(["tableService", "objectStore", "hostList"], {});
    const reads = entries.filter(entry => entry.kind === "read");
    expect(reads.length).toBeGreaterThan(0);
    expect(reads.filter(entry => entry.outcome !== "answered")).toEqual([]);
    await run.system.restartDaemon("north-1");
    await run.waitFor("the restarted host to know the new one", async () => {
        const { hosts } = await run.getStatus(run.system.daemons.get("north-1"));
        return hosts.some(host => host.host === "north-4") || undefined;
    });
    const { exitCode, lines } = await run.runTool(["status", "--wait"]);
    expect([exitCode, lines.join("\n")]).toEqual([0, expect.stringContaining("north-4")]);
    await run.waitUntilServed();
    await load.stop();
    expect((await run.judge()).findings).toEqual([]);
});

test("lost answers of the table to committed writes make nothing run twice", async () => {
    const load = run.startLoad();
    for (let round = 0; round < 4; round++) {
        await setFaults(["tableService"], { answerLostAfterCommit: LOST_ANSWERS });
        await run.clock.sleep(500);
    }
    await setFaults(["tableService"], {});
    await run.waitUntilServed();
    const entries = await load.stop();
    expect(entries.some(entry => entry.kind === "once" && entry.outcome === "answered")).toBe(true);
    expect((await run.judge()).findings).toEqual([]);
});

function setFaults(names: readonly string[], faults: object): Promise<unknown> {
    return Promise.all(
        names.map(name => run.system.setFaults(run.system.platform.get(name)!.control, faults)),
    );
}

function listOutcomes(entries: readonly CallerEntry[]): string[] {
    return [...new Set(entries.map(entry => entry.outcome))];
}
