import { Logger, ManualClock, type ServiceId } from "@arbutusdoor/common";
import { expect, test } from "vitest";
import { LateOrderLog } from "../src/ownership/lateOrderLog.js";

const LIMIT_MS = 800;

test("outcomes that are learned late are logged together once a second, with their number and the longest delay", () => {
    const lines: unknown[] = [];
    const logger = new Logger(new ManualClock(), "host", "silent");
    logger.onEvent((event, fields) => lines.push({ event, ...fields }));
    const log = new LateOrderLog("s" as ServiceId, logger);
    for (const [duration, now] of [[800, 100], [890, 200], [1_840, 300], [1_200, 900], [3, 1_299]] as const) {
        log.record(duration, LIMIT_MS, now);
    }
    expect(lines).toEqual([]);
    log.record(3, LIMIT_MS, 1_300);
    log.record(3, LIMIT_MS, 5_000);
    expect(lines).toEqual([{ event: "keyOrdersLate", service: "s", orders: 2, longestMs: 1_040 }]);
});
