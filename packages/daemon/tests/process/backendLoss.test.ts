import { afterAll, beforeAll, expect, test } from "vitest";
import { FailureRun } from "../../../../scripts/failureRun.js";

const run = new FailureRun();
const KEY = "key-0";

beforeAll(() => run.start(), 60_000);
afterAll(() => run.stop(), 60_000);

test(
    "the keys of a killed backend server are served again, and the server can restart on its port",
    async () => {
        const load = run.startLoad();
        const { server = "", incarnation } = (await run.explain("gustboard", KEY))!;
        await run.clock.sleep(500);
        await run.killServer(server);
        await run.waitUntilServed();
        await run.system.restartServer(server);
        await waitUntilKnown(server, incarnation);
        await run.waitUntilServed();
        const entries = await load.stop();
        expect(entries.filter(entry => entry.outcome === "answered").length).toBeGreaterThan(100);
        expect((await run.judge()).findings).toEqual([]);
    },
    60_000,
);

test(
    "a paused backend server that resumes after its keys moved owns none of them and runs no requests for them",
    async () => {
        const load = run.startLoad();
        const { server = "", generation = 0 } = (await run.explain("gustboard", KEY))!;
        await run.clock.sleep(500);
        const { program } = run.system.servers.get(server)!;
        program.signal("SIGSTOP");
        await run.waitFor("the move of the key", async () => {
            const now = await run.explain("gustboard", KEY);
            return now?.state === "held" && now.server !== server && now.generation! > generation
                || undefined;
        });
        await run.waitUntilServed();
        program.signal("SIGCONT");
        await waitUntilKnown(server);
        await run.waitUntilServed();
        await load.stop();
        expect((await run.judge()).findings).toEqual([]);
    },
    60_000,
);

/** Resolves once the entry hosts report the server as known, with another incarnation than `before`. */
function waitUntilKnown(server: string, before?: string): Promise<true> {
    return run.waitFor(`${server} to be known`, async () => {
        const { servers } = await run.getStatus();
        const seen = servers.find(other => other.server === server);
        return seen?.state === "known" && seen.incarnation !== before || undefined;
    });
}
