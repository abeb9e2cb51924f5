import { expect, test } from "vitest";
import { ShutdownSchedule } from "../src/http/shutdownSchedule.js";
import { ManualClock } from "../src/time/manualClock.js";

const LISTEN_MS = 2_500;
const FINISH_MS = 3_200;
const END_MS = LISTEN_MS + FINISH_MS;

test.each([
    ["before the shutdown, any", undefined, END_MS * 10, true],
    ["while the port listens, any", LISTEN_MS - 1, END_MS * 10, true],
    ["once the port is closed, one that ends 100 ms before the process", LISTEN_MS, END_MS - 100, true],
    ["once the port is closed, none that ends later", LISTEN_MS, END_MS - 99, false],
    ["shortly before the end, one that ends in time", END_MS - 200, END_MS - 100, true],
    ["shortly before the end, none that ends later", END_MS - 200, END_MS, false],
])("%s request can be served", (_, time, deadlineAt, expected) => {
    const clock = new ManualClock();
    const schedule = new ShutdownSchedule(clock);
    if (time !== undefined) {
        schedule.begin(LISTEN_MS, FINISH_MS);
        clock.advance(time);
    }
    expect(schedule.canServe(deadlineAt)).toBe(expected);
    expect(schedule.isStopping).toBe(time !== undefined);
});
