import { ArbutusdoorError, type Clock, type Milliseconds } from "@arbutusdoor/common";
import type { Readable } from "node:stream";

/** Destroys a body that is still arriving after `timeLeft` and calls `onOverdue`. */
export function destroyOverdueBody(
    body: Readable,
    clock: Clock,
    timeLeft: Milliseconds,
    onOverdue: () => void,
): void {
    const timer = clock.schedule(Math.max(0, timeLeft), () => {
        onOverdue();
        body.destroy(new ArbutusdoorError("the answer was still arriving at the request's deadline"));
    });
    body.once("close", () => timer.cancel());
}
