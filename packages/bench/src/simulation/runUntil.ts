import type { Milliseconds } from "@arbutusdoor/common";
import type { SimulatedClock } from "./simulatedClock.js";

/**
 * Runs all actions due by `end`, each followed by whatever promises it settles: the runtime starts a tick only when
 * no promise reaction is left to run.
 */
export async function runUntil(clock: SimulatedClock, end: Milliseconds): Promise<void> {
    while (clock.step(end)) {
        await new Promise<void>(resolve => process.nextTick(resolve));
    }
}
