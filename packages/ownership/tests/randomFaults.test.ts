import { expect, test } from "vitest";
import { hasFailed } from "./hasFailed.js";
import { runRandomFaults } from "./runRandomFaults.js";
import { SETUPS } from "./session/setups.js";

const SEEDS = 3;

for (const [name, cast] of Object.entries(SETUPS)) {
    for (const checksOrders of [true, false]) {
        for (const promisesPerGrantor of [1, 2]) {
            const title =
                `${name}, servers that check orders: ${checksOrders}, promises: ${promisesPerGrantor}`;
            test(`walks of ${title}`, () => {
                const options = { ...cast, checksOrders, settings: { promisesPerGrantor } };
                const verdicts = [...Array(SEEDS).keys()].map(seed => runRandomFaults(seed + 1, options));
                expect(verdicts.filter(hasFailed)).toEqual([]);
            }, 60_000);
        }
    }
}
