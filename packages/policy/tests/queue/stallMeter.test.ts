import { expect, test } from "vitest";
import { StallMeter } from "../../src/index.js";
import { StallingClock } from "../support/stallingClock.js";

test("stalls add up, even before the overdue check has run, and time without stalls does not count", () => {
    const clock = new StallingClock();
    const meter = new StallMeter(clock);
    clock.advance(1_000);
    expect(meter.getTotal()).toBe(0);
    clock.stall(300);
    expect(meter.getTotal()).toBeGreaterThanOrEqual(280);
    clock.advance(50);
    clock.stall(100);
    clock.advance(1_000);
    expect(meter.getTotal()).toBe(400);
    meter.stop();
    expect(clock.nextDue()).toBeUndefined();
});
