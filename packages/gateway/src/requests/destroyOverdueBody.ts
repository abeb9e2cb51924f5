import { ArbutusdoorError, type Clock, type Milliseconds } from "@arbutusdoor/common";
import type { Readable } from "node:stream";

/** Breaks a body off that is still arriving after a time, and tells so. */
export function destroyOverdueBody(
    body: Readable,
    clock: Clock,
    time: Milliseconds,
    notify: () => void,
): void {
    const timer = clock.schedule(Math.max(0, time), () => {
        notify();
        body.destroy(new ArbutusdoorError("the answer was still arriving when the request's time was over"));
    });
    body.once("close", () => timer.cancel());
}
