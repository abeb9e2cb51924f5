import type { Milliseconds } from "@arbutusdoor/common";
import type { ServerWait } from "./serverWait.js";

/** Share of the queue that is to have emptied before its server is asked again. */
const EMPTIED_SHARE = 0.5;

/**
 * Returns how long to wait before a server that has shed a request is asked again; `undefined` when the answer would come after `latestAt`
 * nevertheless. The retry budget is then better spent on other requests.
 */
export function getRepeatDelay(
    wait: ServerWait,
    workMs: Milliseconds,
    latestAt: Milliseconds,
    now: Milliseconds,
): Milliseconds | undefined {
    const delay = wait.get(now) * EMPTIED_SHARE;
    const askedAt = now + delay;
    return askedAt + wait.get(askedAt) + workMs <= latestAt ? delay : undefined;
}
