import type { ServiceId } from "@arbutusdoor/common";
import { expect, test } from "vitest";
import { SharedRetryBudget } from "../src/routing/sharedRetryBudget.js";

const SERVICE = "board" as ServiceId;
const BOUNDS = { share: 0.2, windowMs: 10_000, allowance: 58 };
const HOSTS = 9;

test("pattern retry abuse: in any window all hosts together stay within the share and the allowance", () => {
    const budget = new SharedRetryBudget(() => BOUNDS, () => HOSTS);
    const requests: number[] = [];
    const repeats: number[] = [];
    for (let now = 0; now < 40_000; now += 20) {
        budget.noteRequest(SERVICE, now);
        requests.push(now);
        while (budget.spend(SERVICE, now)) {
            repeats.push(now);
        }
    }
    const inWindow = (times: readonly number[], end: number) =>
        times.filter(at => at > end - 10_000 && at <= end).length;
    for (let end = 0; end < 40_000; end += 500) {
        const allowed = BOUNDS.share * inWindow(requests, end) + BOUNDS.allowance / HOSTS;
        expect(inWindow(repeats, end)).toBeLessThanOrEqual(allowed);
    }
    expect(repeats.length).toBeGreaterThan(100);
});

test("services have budgets of their own", () => {
    const budget = new SharedRetryBudget(() => BOUNDS, () => HOSTS);
    while (budget.spend(SERVICE, 0)) {
        // Spends what there is.
    }
    expect(budget.spend("other" as ServiceId, 0)).toBe(true);
});
