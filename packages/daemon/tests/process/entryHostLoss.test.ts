import { afterAll, beforeAll, expect, test } from "vitest";
import { FailureRun } from "../../../../scripts/failureRun.js";

const run = new FailureRun();
const PAUSE_MS = 3_000;
const FILINGS = 12;
const FILING_MS = 700;

beforeAll(() => run.start());
afterAll(() => run.stop());

test("the coordinator is killed with once-only work in flight through it and relayed to it", async () => {
    const { deciders } = await run.getStatus();
    await killHostUnderLoad(deciders[0]!.host!, "coordinator");
});

test("the first grantor of a key's owner is killed with once-only work in flight", async () => {
    const { grantors } = (await run.explain("agenda", "key-0"))!;
    await killHostUnderLoad(grantors[0]!, "grantor");
});

test("a grantor that was paused for 3 s does no harm with the requests it had queued", async () => {
    const load = run.startLoad();
    const { grantors } = (await run.explain("gustboard", "key-0"))!;
    const host = run.system.daemons.get(grantors[0]!)!;
    await run.clock.sleep(500);
    host.program.signal("SIGSTOP");
    const buffered = sendFilings("buffered", host.callers);
    await run.clock.sleep(PAUSE_MS);
    host.program.signal("SIGCONT");
    await buffered;
    await run.waitUntilServed();
    await load.stop();
    expect((await run.judge()).findings).toEqual([]);
});

/** Kills an entry host under load, repeats the calls in flight through the other hosts, and restarts it. */
async function killHostUnderLoad(name: string, role: string): Promise<void> {
    const load = run.startLoad();
    const host = run.system.daemons.get(name)!;
    const others = run.listLiveHosts().filter(other => other !== host);
    const through = sendFilings(`through-${role}`, host.callers);
    const relayed = sendFilings(`relayed-${role}`, others[0]!.callers);
    await run.clock.sleep(FILING_MS / 2);
    await host.program.kill();
    const first = await Promise.all([through, relayed]);
    expect(first[0].some(entry => entry.outcome === "none")).toBe(true);
    await Promise.all([
        sendFilings(`through-${role}`, others[0]!.callers, 2),
        sendFilings(`relayed-${role}`, others[1]!.callers, 2),
    ]);
    await run.waitUntilServed();
    await run.restartHost(name);
    await run.waitUntilServed();
    await load.stop();
    expect((await run.judge()).findings).toEqual([]);
}

/** Sends slow once-only requests, half of them to a keyed and half to a pooled service. */
function sendFilings(name: string, entryHost: string, attempt = 1) {
    const calls = Array.from({ length: FILINGS }, (_, index) => {
        const service = index % 2 === 0 ? "agenda" : "shorepermit";
        const id = `${name}-${index}`;
        return {
            name: id,
            kind: "once" as const,
            method: "POST" as const,
            path: `/${service}/key-${index}/once?delay=${FILING_MS}&call=${id}`,
            headers: { "idempotency-key": id },
            body: Buffer.from(id),
        };
    });
    return Promise.all(calls.map(call => run.send(entryHost, call, attempt)));
}
