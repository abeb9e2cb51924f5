import { createRangeProgress } from "./createRangeProgress.js";
import type { OwnedRange } from "./ownedRange.js";
import type { RangeProgress } from "./rangeProgress.js";
import type { StoreTimeScale } from "./storeTimeScale.js";

/** Creates the progress of a range of a map that is taken over: only the map tells what its holders may have been granted. */
export function createInheritedProgress(range: OwnedRange, scale: StoreTimeScale): RangeProgress {
    const { previousUntil } = range;
    const until = previousUntil === undefined ? undefined : scale.toLocalTime(previousUntil);
    return createRangeProgress(range, undefined, undefined, until);
}
