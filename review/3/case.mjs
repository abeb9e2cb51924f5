// Another writer's entry in the registry has an address that is none. Each host that chooses it ends, and again after each restart.
import { RangeServer } from "../lib/rangeServer.mjs";
import { newAgent, newLoopbackIp, runCase, sendRequest, sleep } from "../lib/system.mjs";

const AUTHORITY = "bookings.example";
const CLIENTS = 16;
const RESTART_DELAY_MS = 500;
/** LOST: more than three requests that were passed on from a kept connection, which closes without an answer. */
const LOST_LIMIT = 3;

await runCase(new URL(".", import.meta.url).pathname, async (system, recorder, hasTrouble) => {
    system.configure(
        [{
            "name": "bookings", "hostname": AUTHORITY, "prefix": "/booking/", "service": "reservas", "route-type": "unsafe",
            "timeout": "2000ms", "target-latency": "500ms", "max-attempts": 1, "priority": 1,
        }],
        [{ "name": "reservas", "health-path": "/health", "max-conns": 49, "sharded": false }],
    );
    const servers = await Promise.all([1, 2].map(async number => {
        const server = new RangeServer({
            id: `i-reservas-${number}`, service: "reservas", isKeyed: false, recorder, store: system.store,
        });
        await server.listen(newLoopbackIp());
        server.register();
        return server;
    }));
    const hosts = await Promise.all([1, 2, 3].map(number => system.addHost(`edge-${number}`)));
    hosts.forEach(host => {
        host.restartDelayMs = RESTART_DELAY_MS;
    });
    await sleep(2_000);
    const agent = newAgent();
    let sent = 0;
    let isOver = false;
    const lost = [];
    const callers = Array.from({ length: CLIENTS }, async () => {
        while (!isOver) {
            const index = sent++;
            const id = `r${String(index).padStart(5, "0")}`;
            const reply = await sendRequest(hosts[index % hosts.length], {
                method: "POST", path: `/booking/${id}`, authority: AUTHORITY, id, deadlineMs: 1_000, body: Buffer.from("x"), agent,
            });
            recorder.add(`client: ${id} ends with ${reply.status ?? reply.error}`);
            if (reply.status === undefined) {
                lost.push(id);
                await sleep(100);
            }
        }
    });
    await sleep(2_000);
    if (hasTrouble) {
        recorder.add("store: another writer adds an entry whose address has no valid port");
        system.store.put("servers", "i-foreign", {
            "address": "127.1.2.3:70000", "born": Date.now(),
            "info": { "service": "reservas", "config-version": "1", "zone": "zone-a", "slots": 3 },
            "status": { "state": "ready", "seq": 1, "warmup-left": "0ms" },
        });
    }
    await sleep(12_000);
    isOver = true;
    await Promise.all(callers);
    hosts.forEach(host =>
        system.readLog(host).filter(line => line.includes("invariantBroken")).forEach(line => recorder.add(`log: ${line}`))
    );
    servers.forEach(server => server.close());
    const ran = lost.filter(id => servers.some(({ runs }) => runs.some(run => run.id === id)));
    recorder.add(`own ends: ${hosts.map(({ ends = 0, name }) => `${name} ${ends}`).join(", ")}`);
    recorder.add(`${sent} requests; ${lost.length} got no answer; LOST: ${ran.length} of them ran at a sound server: ${ran.join(", ")}`);
    return ran.length > LOST_LIMIT;
});
