import { wallClock } from "../../wallClock.js";
const MICROSECONDS_PER_MS = 1_000;

/** Median time of one call in microseconds, over rounds of calls that fill a time budget. */
export function timeCall(action: () => void, budgetMs = 60, minRounds = 3): number {
    const times: number[] = [];
    const end = wallClock.now() + budgetMs;
    action();
    while (times.length < minRounds || wallClock.now() < end) {
        const beganAt = wallClock.now();
        action();
        times.push((wallClock.now() - beganAt) * MICROSECONDS_PER_MS);
    }
    times.sort((left, right) => left - right);
    return times[Math.floor(times.length / 2)]!;
}
