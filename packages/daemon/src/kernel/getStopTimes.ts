import type { Milliseconds } from "@arbutusdoor/common";

/** Reserved for closing ports and links once the requests in progress have ended. */
const CLOSE_MS = 2_000;
/** Largest share of the limit that is reserved. */
const MAX_CLOSE_SHARE = 1 / 12;
/** Largest share of the limit for listening; the rest is for requests that arrive last. */
const MAX_LISTEN_SHARE = 1 / 2;

/** How a graceful stop divides its time. */
type StopTimes = {
    /** How long new connections are accepted. */
    readonly listenMs: Milliseconds;
    /** How much longer requests in progress may take. */
    readonly finishMs: Milliseconds;
};

/** Divides the time of a stop, given how long the load balancer takes to notice it and its limit. */
export function getStopTimes(readyDelayMs: Milliseconds, stopLimitMs: Milliseconds): StopTimes {
    const listenMs = Math.min(readyDelayMs, stopLimitMs * MAX_LISTEN_SHARE);
    const closeMs = Math.min(CLOSE_MS, stopLimitMs * MAX_CLOSE_SHARE);
    return { listenMs, finishMs: stopLimitMs - listenMs - closeMs };
}
