import type { Milliseconds } from "@arbutusdoor/common";
import { minTimeLeftMs } from "./minTimeLeftMs.js";
import type { RequestState } from "./requestState.js";

/** Maximum number of times that one request is sent, including refused ones. */
const MAX_SENDS = 4;

/** Whether a request that was sent may be sent again, or beside an attempt that has not ended. */
export function mayRetryRequest(
    { request, running, runs, sends }: RequestState,
    timeLeft: Milliseconds,
): boolean {
    const canSendBody = request.body.kind !== "arriving" || !request.body.stream.readableDidRead;
    const mayHaveRun = runs + running.size;
    const isSafe = mayHaveRun === 0 || request.route.isIdempotent;
    return canSendBody && isSafe && sends < MAX_SENDS && mayHaveRun < request.route.maxAttempts
        && timeLeft > minTimeLeftMs;
}
