import { ManualClock } from "@arbutusdoor/common";
import { expect, test } from "vitest";
import { HostCount } from "../src/links/hostCount.js";

test("a new coordinator that counts from one does not increase any host's part of the shared limits", () => {
    const clock = new ManualClock(0);
    const count = new HostCount(clock);
    expect(count.recentMax).toBe(undefined);
    count.record(9);
    for (const hosts of [1, 2, 5, 9, 8]) {
        clock.advance(300);
        count.record(hosts);
        expect(count.recentMax).toBe(9);
    }
    count.record(18);
    expect(count.recentMax).toBe(18);
});

test("hosts that are absent for a minute no longer count", () => {
    const clock = new ManualClock(0);
    const count = new HostCount(clock);
    count.record(9);
    for (let at = 0; at < 59_000; at += 300) {
        clock.advance(300);
        count.record(6);
    }
    expect(count.recentMax).toBe(9);
    clock.advance(2_000);
    count.record(6);
    expect(count.recentMax).toBe(6);
});

test("the last count applies while no coordinator counts", () => {
    const clock = new ManualClock(0);
    const count = new HostCount(clock);
    count.record(9);
    clock.advance(600_000);
    expect(count.recentMax).toBe(9);
});
