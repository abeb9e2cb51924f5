// A server that holds keys is cut off: the store hears nothing of it, and the hosts' connections to it are refused. It is up all the while.
import { Gate } from "../lib/gate.mjs";
import { RangeServer } from "../lib/rangeServer.mjs";
import { newAgent, newLoopbackIp, runCase, sendRequest, sleep } from "../lib/system.mjs";

const AUTHORITY = "calendar.example";
const CUT_MS = 8_000;
const OVERLAP_LIMIT_MS = 500;
const SAMPLE_MS = 20;
const CLIENTS = 6;

await runCase(new URL(".", import.meta.url).pathname, async (system, recorder, hasTrouble) => {
    system.configure(
        [{
            "name": "calendar", "hostname": AUTHORITY, "prefix": "/calendar/", "service": "agenda", "route-type": "safe",
            "timeout": "2000ms", "target-latency": "400ms", "max-attempts": 2, "priority": 1,
        }],
        [{ "name": "agenda", "health-path": "/health", "max-conns": 49, "sharded": true, "warm": "3s" }],
    );
    const gates = [];
    const servers = await Promise.all([1, 2, 3, 4, 5].map(async number => {
        const server = new RangeServer({ id: `i-agenda-${number}`, service: "agenda", recorder, store: system.store });
        await server.listen(newLoopbackIp());
        const gate = new Gate();
        await gate.open(newLoopbackIp(), server.listening);
        gates.push(gate);
        server.gate = gate;
        server.address = gate.address;
        server.register();
        return server;
    }));
    const [cutOff] = servers;
    const hosts = await Promise.all([1, 2].map(number => system.addHost(`edge-${number}`)));
    await sleep(5_000);
    /** By key: since when two servers that are up hold it, and the longest such time. */
    const since = new Map();
    const longest = new Map();
    const sampling = setInterval(() => {
        const now = performance.now();
        for (let key = 0; key < 65_536; key += 64) {
            const holders = servers.filter(server => server.holds(key, now));
            if (holders.length < 2) {
                since.delete(key);
                continue;
            }
            if (!since.has(key)) {
                since.set(key, now);
            }
            const span = now - since.get(key);
            if (span > OVERLAP_LIMIT_MS && !longest.has(key) && longest.size < 5) {
                recorder.add(
                    `OWNER: key ${key} has been held for ${Math.round(span)} ms by `
                        + holders.map(({ heldFence, heldUntil, id }) =>
                            `${id} (fence ${heldFence[key]}, for ${Math.round(heldUntil[key] - now)} ms more)`
                        ).join(" and "),
                );
            }
            if (span > OVERLAP_LIMIT_MS) {
                longest.set(key, Math.max(longest.get(key) ?? 0, span));
            }
        }
    }, SAMPLE_MS);
    const agent = newAgent();
    let sent = 0;
    let isOver = false;
    const callers = Array.from({ length: CLIENTS }, async () => {
        while (!isOver) {
            const index = sent++;
            const id = `r${String(index).padStart(5, "0")}`;
            const reply = await sendRequest(hosts[index % 2], {
                method: "GET", path: `/calendar/${id}`, authority: AUTHORITY, id, deadlineMs: 1_000, key: index * 1_217 % 65_536, agent,
            });
            recorder.add(`client: ${id} ends with ${reply.status ?? reply.error}`);
        }
    });
    await sleep(2_000);
    if (hasTrouble) {
        recorder.add(`server ${cutOff.id} is cut off from the hosts (connections are refused) and from the store`);
        cutOff.gate.cut();
        cutOff.cutFromStore();
    }
    await sleep(CUT_MS);
    if (hasTrouble) {
        recorder.add(`server ${cutOff.id} is reachable again`);
        await cutOff.gate.heal();
        cutOff.register();
    }
    await sleep(3_000);
    isOver = true;
    await Promise.all(callers);
    clearInterval(sampling);
    const log = hosts.flatMap(host => system.readLog(host)).filter(line => line.includes("holderDead"));
    log.forEach(line => recorder.add(`log: ${line}`));
    gates.forEach(gate => gate.close());
    servers.forEach(server => server.close());
    recorder.add(
        `${sent} requests; of 1024 sampled keys ${longest.size} were held by two servers for over ${OVERLAP_LIMIT_MS} ms, the longest for `
            + `${Math.round(Math.max(0, ...longest.values()))} ms`,
    );
    return longest.size > 0;
});
