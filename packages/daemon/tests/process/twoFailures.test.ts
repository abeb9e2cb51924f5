import { afterAll, beforeAll, expect, test } from "vitest";
import { FailureRun } from "../../../../scripts/failureRun.js";

const run = new FailureRun();
const OUTAGE_MS = 2_000;

beforeAll(() => run.start());
afterAll(() => run.stop());

test("requests for the keys of a backend server that is killed during a table outage are refused until the table recovers", async () => {
    const load = run.startLoad();
    const { server = "" } = (await run.explain("gustboard", "key-0"))!;
    const table = run.system.platform.get("tableService")!;
    await run.system.setFaults(table.control, { down: "refused" });
    await run.clock.sleep(OUTAGE_MS / 2);
    await run.killServer(server);
    await run.clock.sleep(OUTAGE_MS);
    await run.system.setFaults(table.control, {});
    await run.waitUntilServed();
    await run.system.restartServer(server);
    await run.waitUntilServed();
    await load.stop();
    expect((await run.judge()).findings).toEqual([]);
});

test("a grantor is paused while its backend server is killed and restarted", async () => {
    const load = run.startLoad();
    const { server = "", grantors } = (await run.explain("gustboard", "key-0"))!;
    const { program } = run.system.daemons.get(grantors[0]!)!;
    program.signal("SIGSTOP");
    await run.clock.sleep(OUTAGE_MS / 2);
    await run.killServer(server);
    await run.system.restartServer(server);
    await run.clock.sleep(OUTAGE_MS);
    program.signal("SIGCONT");
    await run.waitUntilServed();
    await load.stop();
    expect((await run.judge()).findings).toEqual([]);
});

test("after an entry host and its backend server are killed together, the keys are served once an operator attests the loss", async () => {
    const load = run.startLoad();
    const { deciders } = await run.getStatus();
    const host = deciders[0]!.host!;
    const { server = "", incarnation = "" } = (await run.explain("agenda", "key-0"))!;
    await Promise.all([run.system.daemons.get(host)!.program.kill(), run.killServer(server)]);
    await run.restartHost(host);
    await run.clock.sleep(OUTAGE_MS);
    const words = ["attest-lost", "--server", server, "--incarnation", incarnation, "--by", "test"];
    expect((await run.runTool(words)).exitCode).toBe(0);
    await run.waitUntilServed();
    await load.stop();
    expect((await run.judge()).findings).toEqual([]);
});
