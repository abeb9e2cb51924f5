import { encode } from "msgpackr";
import { Simulation } from "./simulation/simulation.js";

const SECONDS = 20;
const SIZES = [[4, 4], [4, 8], [10, 10], [10, 20]] as const;

/** Measures what the kernel sends in an undisturbed simulation of one data centre, per host and second. */
function measure(hostCount: number, serverCount: number, promisesPerGrantor: number): void {
    const hosts = [...Array(hostCount).keys()].map(index => `e${index}`);
    const servers = [...Array(serverCount).keys()].map(index => `b${index}`);
    const settings = { promisesPerGrantor };
    const simulation = new Simulation({
        seed: 5,
        centres: { north: { hosts, servers } },
        slices: 64,
        settings,
    });
    simulation.callers.isActive = false;
    simulation.run(4000);
    const sums = { orders: 0, orderBytes: 0, messages: 0, messageBytes: 0, reads: 0, transactions: 0 };
    simulation.watch = effect => {
        switch (effect.kind) {
            case "sendOrder":
                sums.orders++;
                sums.orderBytes += JSON.stringify(effect.order).length;
                break;
            case "sendPeer":
                sums.messages++;
                sums.messageBytes += encode(effect.message).length;
                break;
            case "readRows":
                sums.reads++;
                break;
            case "transact":
                sums.transactions++;
                break;
            case "log":
                break;
        }
    };
    const before = process.cpuUsage();
    simulation.run(SECONDS * 1000);
    const { user, system } = process.cpuUsage(before);
    const cpuMs = (user + system) / 1000;
    const rates = Object.entries({ ...sums, cpuMs })
        .map(([name, sum]) => `${name} ${(sum / SECONDS / hostCount).toFixed(1)}`);
    console.log(
        `${hostCount} hosts, ${serverCount} servers, support ${promisesPerGrantor}: ${rates.join(", ")}`,
    );
}

for (const promisesPerGrantor of [1, 2]) {
    SIZES.forEach(([hosts, servers]) => measure(hosts, servers, promisesPerGrantor));
}
