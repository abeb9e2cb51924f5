import type { Milliseconds } from "@arbutusdoor/common";

/** The load balancer stops sending connections after two failed readiness checks, a second apart. */
const LISTEN_MS = 2_500;
/** Reserved for closing down. */
const MARGIN_MS = 300;
/** Largest share of the grace time for listening; the rest is for requests that arrive last. */
const MAX_LISTEN_SHARE = 1 / 2;
/** Largest share of the grace time that is reserved: well within its last sixth, in which the platform excuses requests that are cut off. */
const MAX_MARGIN_SHARE = 1 / 12;

/** How a graceful shutdown divides its time. */
type StopTimes = {
    /** How long new connections are accepted. */
    readonly listenMs: Milliseconds;
    /** How much longer requests in progress may take. */
    readonly finishMs: Milliseconds;
};

/** Divides the time between SIGTERM and SIGKILL. */
export function getStopTimes(graceMs: Milliseconds): StopTimes {
    const listenMs = Math.min(LISTEN_MS, graceMs * MAX_LISTEN_SHARE);
    const marginMs = Math.min(MARGIN_MS, graceMs * MAX_MARGIN_SHARE);
    return { listenMs, finishMs: graceMs - listenMs - marginMs };
}
