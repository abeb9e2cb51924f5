import { expect, test } from "vitest";
import { getStopTimes } from "../src/host/getStopTimes.js";

// Guards against requests that were cut off by SIGKILL, or too early, where the platform gives a short grace time.
test.each([[1_000], [2_000], [2_500], [6_000], [30_000]])(
    "a shutdown within %i ms finishes requests until the last sixth, and ends before SIGKILL",
    graceMs => {
        const { finishMs, listenMs } = getStopTimes(graceMs);
        expect(listenMs).toBeLessThanOrEqual(graceMs / 2);
        expect(listenMs + finishMs).toBeGreaterThan(graceMs * 5 / 6);
        expect(listenMs + finishMs).toBeLessThan(graceMs);
    },
);

test("a shutdown accepts connections until the load balancer has noticed it", () => {
    expect(getStopTimes(6_000)).toEqual({ listenMs: 2_500, finishMs: 3_200 });
});
