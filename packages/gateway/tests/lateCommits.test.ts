import { expect, test } from "vitest";
import type { RowWriteOutcome } from "../src/store/rowWriteOutcome.js";
import { SimulatedCluster } from "./support/simulatedCluster.js";

const UNKNOWN: RowWriteOutcome = { kind: "unknown", reason: "no answer" };
const NOT_RUN: RowWriteOutcome = { kind: "notRun", reason: "the store answered 503" };

// Guards against two owners of a key: a write that was refused let ranges go that an earlier write, still on its way, gives to others.
test.each([["no later write is refused", false], ["the later ones are refused meanwhile", true]])(
    "a map that takes effect seconds after its answer was lost makes no second owner when %s",
    async (_, isRefused) => {
        const run = new SimulatedCluster(["s", "p", "q", "s", "p", "q"]);
        run.startHost("a");
        await run.run(5_000);
        // Keys of s are planned for p and q, which wait for its last grants.
        run.setServersCut("a", ["s"], true);
        run.register("s", undefined);
        await run.run(8_000);
        // The next map gives p's keys to q. Its write is on the way for 5 s.
        const { maps } = run;
        const write = maps.write.bind(maps);
        let perform: (() => Promise<RowWriteOutcome>) | undefined;
        maps.write = (key, version, map) => {
            if (perform) {
                return Promise.resolve(isRefused ? NOT_RUN : UNKNOWN);
            }
            perform = () => write(key, version, map);
            return Promise.resolve(UNKNOWN);
        };
        run.register("p", undefined);
        await run.run(5_000);
        expect(perform).toBeDefined();
        maps.write = write;
        void perform!();
        await run.run(20_000);
        expect(run.checker.violations).toEqual([]);
    },
);
