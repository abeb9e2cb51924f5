import { expect, test } from "vitest";
import { SystemClock } from "../src/time/systemClock.js";

const SETTLE_MS = 20;
const THIRTY_DAYS_MS = 2_592_000_000;

// Guards against a route with a timeout of a month whose requests all timed out at once.
test.each([[THIRTY_DAYS_MS], [Number.MAX_SAFE_INTEGER], [Infinity]])(
    "an action scheduled after %s ms is not run at once",
    async delay => {
        const clock = new SystemClock();
        let isRun = false;
        const timer = clock.schedule(delay, () => {
            isRun = true;
        });
        await clock.sleep(SETTLE_MS);
        timer.cancel();
        expect(isRun).toBe(false);
    },
);
