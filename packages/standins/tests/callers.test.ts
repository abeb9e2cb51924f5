import { SystemClock } from "@arbutusdoor/common";
import {
    BackendSettings,
    BackendStandIn,
    CallerSettings,
    observe,
    runCallers,
    ServerJournal,
} from "@arbutusdoor/standins";
import { expect, onTestFinished, test } from "vitest";
import { TestDoor } from "./support/testDoor.js";

async function callThrough(fault: Parameters<typeof TestDoor.start>[1]): Promise<unknown> {
    const clock = new SystemClock();
    const settings = BackendSettings.parse({ server: "s1", incarnation: "s1-1", serviceMs: 0, slots: 64 });
    const server = new BackendStandIn(clock, settings, { host: "127.0.0.1", port: 0, controlPort: 0 });
    await server.start();
    onTestFinished(() => server.kill());
    const door = await TestDoor.start(server.address, fault);
    const callers = CallerSettings.parse({
        entryHosts: [door.address],
        reads: ["gustboard"],
        filings: ["shorepermit"],
        uploads: ["loghold"],
        count: 30,
        requestsPerSecond: 1_000,
        inFlight: 30,
        uploadBytes: 1_000,
        repeats: 0,
    });
    const log = await runCallers(callers, clock, new AbortController().signal);
    const journal = ServerJournal.parse(JSON.parse(JSON.stringify(server.readJournal())));
    const { isClean, findings, counts } = observe([journal], log.entries, {
        toleranceMs: 25,
        lostServers: [],
    });
    const kinds = [...new Set(findings.map(finding => finding.kind))].sort();
    const outcomes = [...new Set(log.entries.map(entry => entry.outcome))].sort();
    return { isClean, kinds, outcomes, calls: counts.calls + log.skipped, broken: counts.broken };
}

test("callers and observer find nothing with a door that keeps its promises, and each promise that it breaks", async () => {
    const verdicts: Record<string, unknown> = {};
    for (
        const fault of ["none", "runsTwice", "hidesRun", "swapsAnswers", "cutsAnswers", "invents"] as const
    ) {
        verdicts[fault] = await callThrough(fault);
    }
    expect(verdicts).toMatchSnapshot();
});
