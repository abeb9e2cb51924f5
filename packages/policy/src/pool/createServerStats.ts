import type { Milliseconds } from "@arbutusdoor/common";
import type { ServerStats } from "./serverStats.js";

/** Returns the stats of a server for which nothing has been recorded yet. */
export function createServerStats(now: Milliseconds): ServerStats {
    return {
        outstanding: 0,
        latencyMs: undefined,
        answers: 0,
        failures: 0,
        sheds: 0,
        progressAt: now,
        pausedUntil: 0,
        ejectedUntil: undefined,
        ejections: 0,
        probeStartedAt: undefined,
        credit: 1,
    };
}
