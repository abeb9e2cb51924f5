import { expect, test } from "vitest";
import type { RowWriteOutcome } from "../src/store/rowWriteOutcome.js";
import { SimulatedCluster } from "./support/simulatedCluster.js";

const UNKNOWN: RowWriteOutcome = { kind: "unknown", reason: "no answer" };
const NOT_RUN: RowWriteOutcome = { kind: "notRun", reason: "the store answered 503" };

// Guards against two owners of a key: a refused write unfreezes ranges that an earlier write, which takes effect later, gives to others.
test.each([["no later write is refused", false], ["later writes are refused meanwhile", true]])(
    "a map that takes effect seconds after its answer was lost gives no key a second owner when %s",
    async (_, isRefused) => {
        const cluster = new SimulatedCluster(["s", "p", "q", "s", "p", "q"]);
        cluster.startHost("a");
        await cluster.run(5_000);
        // The keys of s are assigned to p and q, which wait for its last grants to expire.
        cluster.setServersCut("a", ["s"], true);
        cluster.register("s", undefined);
        await cluster.run(8_000);
        // The next map gives p's keys to q. Its write takes effect 5 s later.
        const { maps } = cluster;
        const write = maps.write.bind(maps);
        let perform: (() => Promise<RowWriteOutcome>) | undefined;
        maps.write = (key, version, map) => {
            if (perform) {
                return Promise.resolve(isRefused ? NOT_RUN : UNKNOWN);
            }
            perform = () => write(key, version, map);
            return Promise.resolve(UNKNOWN);
        };
        cluster.register("p", undefined);
        await cluster.run(5_000);
        expect(perform).toBeDefined();
        maps.write = write;
        void perform!();
        await cluster.run(20_000);
        expect(cluster.checker.violations).toEqual([]);
    },
);
