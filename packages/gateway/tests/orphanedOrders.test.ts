import { expect, test } from "vitest";
import { SimulatedCluster } from "./support/simulatedCluster.js";

const RENEWAL_MS = 3_600;
const PARTITION_MS = 20_000;
/** The sender's machine sends again after pauses that double, 12.6 s and 25.4 s after the first time. */
const RESEND_MS = 5_400;

// Guards against two owners of a key: a coordinator is killed less than 800 ms after it sent a renewal into a partition. Its machine goes on
// sending, and the renewal arrives after the partition, when other servers own the keys.
test.each([
    ["takes over from itself", 100],
    ["follows the host that has taken over", 4_000],
])(
    "a renewal gives no key two owners that arrives after a partition in which its sender was killed and %s",
    async (_, restartMs) => {
        const cluster = new SimulatedCluster(["p", "s", "q", "p", "s", "q"]);
        cluster.startHost("a");
        await cluster.run(1_000);
        cluster.startHost("b");
        await cluster.run(2 * RENEWAL_MS);
        const hosts = ["a", "b"];
        hosts.forEach(host => cluster.beginPartition(host, ["s"]));
        while (cluster.countHeldOrders("a") === 0) {
            await cluster.run(10);
        }
        cluster.crashHost("a");
        await cluster.run(restartMs);
        cluster.startHost("a");
        await cluster.run(1_000);
        cluster.report("a", "b");
        await cluster.run(PARTITION_MS - restartMs - 1_000);
        hosts.forEach(host => cluster.endPartition(host, () => RESEND_MS));
        await cluster.run(30_000);
        expect(cluster.checker.violations).toEqual([]);
    },
);
