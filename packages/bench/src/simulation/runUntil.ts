import type { Milliseconds } from "@arbutusdoor/common";
import type { SimulatedClock } from "./simulatedClock.js";

/** Runs all actions due by `end`, each followed by whatever promises it settles. */
export async function runUntil(clock: SimulatedClock, end: Milliseconds): Promise<void> {
    while (clock.step(end)) {
        await new Promise(resolve => setImmediate(resolve));
    }
}
