import type { Milliseconds } from "@arbutusdoor/common";
import type { OwnedRange } from "./ownedRange.js";
import type { WaitingRange } from "./waitingRange.js";

/** Returns the ranges that have been due longest, so that those whose orders get no answer do not hold up the others. */
export function pickLongestWaiting(
    waiting: readonly WaitingRange[],
    getDueAt: (range: OwnedRange) => Milliseconds,
    limit: number,
): readonly WaitingRange[] {
    const compare = (one: Milliseconds, other: Milliseconds) => one === other ? 0 : one < other ? -1 : 1;
    return [...waiting].sort((one, other) => compare(getDueAt(one.range), getDueAt(other.range))).slice(
        0,
        limit,
    );
}
