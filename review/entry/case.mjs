// Another writer's entry in the registry has an address that is none. Hosts that choose it end.
import { RangeServer } from "../lib/rangeServer.mjs";
import { newAgent, newLoopbackIp, runCase, sendRequest, sleep } from "../lib/system.mjs";

const AUTHORITY = "bookings.example";

await runCase(new URL(".", import.meta.url).pathname, async (system, recorder, hasTrouble) => {
    system.configure(
        [{
            "name": "bookings", "hostname": AUTHORITY, "prefix": "/booking/", "service": "reservas", "route-type": "unsafe",
            "timeout": "2000ms", "target-latency": "500ms", "max-attempts": 1, "priority": 1,
        }],
        [{ "name": "reservas", "health-path": "/health", "max-conns": 49, "sharded": process.env.KEYED === "1", "warm": "3s" }],
    );
    const servers = await Promise.all([1, 2].map(async number => {
        const server = new RangeServer({
            id: `i-reservas-${number}`, service: "reservas", isKeyed: process.env.KEYED === "1", recorder, store: system.store,
        });
        await server.listen(newLoopbackIp());
        server.register();
        return server;
    }));
    const hosts = await Promise.all([1, 2].map(number => system.addHost(`edge-${number}`)));
    await sleep(4_000);
    const agent = newAgent();
    let sent = 0;
    let isOver = false;
    const lost = [];
    const callers = Array.from({ length: 6 }, async () => {
        while (!isOver) {
            const index = sent++;
            const id = `r${String(index).padStart(5, "0")}`;
            const reply = await sendRequest(hosts[index % 2], {
                method: "POST", path: `/booking/${id}`, authority: AUTHORITY, id, deadlineMs: 1_000, body: Buffer.from("x"), agent, key: index * 1217 % 65536,
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
    await sleep(4_000);
    isOver = true;
    await Promise.all(callers);
    const ended = hosts.filter(({ exit }) => exit);
    ended.forEach(host => system.readLog(host).filter(line => line.includes("invariantBroken")).forEach(line => recorder.add(`log: ${line}`)));
    servers.forEach(server => server.close());
    const ran = lost.filter(id => servers.some(({ runs }) => runs.some(run => run.id === id)));
    recorder.add(`${sent} requests; ${ended.length} of ${hosts.length} hosts ended by themselves; ${lost.length} requests got no answer, ${ran.length} of them had run`);
    return ended.length > 0;
});
