// Safe requests go to a pool of servers; some of them take longer than the others, well within their deadline. A host gets SIGTERM, and
// breaks such requests off while their servers work on them.
import { RangeServer } from "../lib/rangeServer.mjs";
import { newAgent, newLoopbackIp, runCase, sendRequest, sleep } from "../lib/system.mjs";

const AUTHORITY = "calendar.example";
const HOSTS = 2;
const CLIENTS = 10;
/** Mean and longest work of the site file's safe requests (calendar-lookups of cuerdas-vivas). */
const WORK_MS = 120;
const LONG_WORK_MS = 900;
const LONG_EVERY = 25;
/** Long requests at the host that is stopped, from just before the SIGTERM on. */
const LONG_REQUESTS = 12;
const LONG_GAP_MS = 80;
const DEADLINE_MS = 2_500;
const GRACE_MS = 6_000;

await runCase(new URL(".", import.meta.url).pathname, async (system, recorder, hasTrouble) => {
    system.configure(
        [{
            "name": "calendar", "hostname": AUTHORITY, "prefix": "/calendar/", "service": "calendar", "route-type": "safe",
            "timeout": `${DEADLINE_MS}ms`, "target-latency": "1200ms", "max-attempts": 2, "priority": 1,
        }],
        [{ "name": "calendar", "health-path": "/health", "max-conns": 49, "sharded": false, "warm": "3s" }],
    );
    const servers = await Promise.all([1, 2, 3, 4, 5, 6].map(async number => {
        const server = new RangeServer({
            id: `i-calendar-${number}`, service: "calendar", isKeyed: false, recorder, store: system.store,
        });
        await server.listen(newLoopbackIp());
        server.register();
        return server;
    }));
    const hosts = await Promise.all(Array.from({ length: HOSTS }, (_, index) => system.addHost(`edge-${index + 1}`)));
    const [stopped] = hosts;
    let stoppedAt = Infinity;
    let sent = 0;
    let isOver = false;
    const brokenOff = { before: [], after: [] };
    const agent = newAgent();
    const call = async (host, workMs) => {
        const id = `r${String(sent++).padStart(5, "0")}`;
        const sentAt = performance.now();
        const reply = await sendRequest(host, {
            method: "GET", path: `/calendar/${id}`, authority: AUTHORITY, id, deadlineMs: DEADLINE_MS, agent,
            headers: { "X-Work-Ms": String(workMs) },
        });
        const now = performance.now();
        const age = Math.round(now - sentAt);
        const isOwn = reply.status === undefined || reply.headers["x-response-signature"] === undefined;
        recorder.add(`client: ${id} (work ${workMs} ms) at ${host.name} ends with ${reply.status ?? reply.error} after ${age} ms`);
        const runs = servers.flatMap(server => server.runs).filter(run => run.id === id);
        // The last run was still going on, or ended because the host broke it off, when the host gave its own answer.
        const wasAtWork = runs.some(run => (run.endedAt ?? now) - run.startedAt < workMs - 20);
        if (isOwn && wasAtWork && age < DEADLINE_MS) {
            const isCounted = host === stopped && now > stoppedAt && now < stoppedAt + GRACE_MS * 5 / 6;
            recorder.add(
                `${isCounted ? "LOST: " : ""}${id} was broken off at work: `
                    + runs.map(run => `${Math.round((run.endedAt ?? now) - run.startedAt)} ms of ${workMs}`).join(", "),
            );
            brokenOff[isCounted ? "after" : "before"].push(id);
        }
    };
    const callers = Array.from({ length: CLIENTS }, async (_, caller) => {
        while (!isOver) {
            const isLeft = stopped.exit || performance.now() > stoppedAt + 1_500;
            await call(isLeft ? hosts[1] : hosts[caller % HOSTS], sent % LONG_EVERY === 0 ? LONG_WORK_MS : WORK_MS);
        }
    });
    // The first window of the retry budget holds no allowance.
    await sleep(11_000);
    const long = Array.from({ length: LONG_REQUESTS }, async (_, index) => {
        await sleep(index * LONG_GAP_MS);
        await call(stopped, LONG_WORK_MS);
    });
    await sleep(LONG_GAP_MS / 2);
    if (hasTrouble) {
        recorder.add(`host ${stopped.name}: SIGTERM`);
        stoppedAt = performance.now();
        stopped.process.kill("SIGTERM");
    }
    await sleep(4_000);
    isOver = true;
    await Promise.all([...callers, ...long]);
    servers.forEach(server => server.close());
    recorder.add(
        `${sent} requests; broken off while their server worked on them: ${brokenOff.before.length} with no planned work, `
            + `${brokenOff.after.length} after SIGTERM`,
    );
    return brokenOff.after.length > 0;
});
