import type { Clock, Logger, Metrics, Milliseconds } from "@arbutusdoor/common";

const MICROSECONDS_PER_MS = 1_000;
/** Half of the time in which a link has to be opened: with timers that run later than this, links and orders fail. */
const LOGGED_LAG_MS = 250;

/** Runs an action periodically, and records how late its timers run: a process without processor time is late with everything. */
export function repeatTask(
    period: Milliseconds,
    action: () => void,
    parts: { readonly clock: Clock; readonly logger: Logger; readonly metrics: Metrics; },
): void {
    const { clock, logger, metrics } = parts;
    const due = clock.now() + period;
    clock.schedule(period, () => {
        const lag = clock.now() - due;
        metrics.record("arbutusdoor_loop_lag_us", {}, lag * MICROSECONDS_PER_MS);
        if (lag > LOGGED_LAG_MS) {
            logger.log("loopLagged", { lagMs: Math.round(lag) });
        }
        action();
        repeatTask(period, action, parts);
    });
}
