import { expect, test } from "vitest";
import { hasFailed } from "./hasFailed.js";
import { runRandomFaults } from "./runRandomFaults.js";
import { SETUPS } from "./simulation/setups.js";

const SEEDS = 3;

for (const [name, setup] of Object.entries(SETUPS)) {
    for (const checksOrders of [true, false]) {
        for (const promisesPerGrantor of [1, 2]) {
            const title =
                `${name}, servers that check orders: ${checksOrders}, support: ${promisesPerGrantor}`;
            test(`random runs of ${title}`, () => {
                const options = { ...setup, checksOrders, settings: { promisesPerGrantor } };
                const results = [...Array(SEEDS).keys()].map(seed => runRandomFaults(seed + 1, options));
                expect(results.filter(hasFailed)).toEqual([]);
            }, 60_000);
        }
    }
}
