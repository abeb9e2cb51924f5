import type { Milliseconds } from "@arbutusdoor/common";
import { getHolderName } from "./getHolderName.js";
import type { KeyMap } from "./keyMap.js";
import type { KeyOrder } from "./keyOrder.js";
import type { RangeProgress } from "./rangeProgress.js";

/**
 * Records that a grant may have been sent as late as `at`, for all ranges with keys of it: its range may have been divided or moved since.
 *
 * @param progress progress with the ranges of the map, by first key
 */
export function delayLastGrants(
    { ranges }: KeyMap,
    progress: ReadonlyMap<number, RangeProgress>,
    order: KeyOrder,
    at: Milliseconds,
): void {
    const name = getHolderName(order.holder);
    for (const { first, last } of ranges) {
        const lastGrants = progress.get(first)?.lastGrants;
        const grant = lastGrants?.get(name);
        if (grant && first <= order.last && last >= order.first) {
            lastGrants!.set(name, { ...grant, at: Math.max(grant.at, at) });
        }
    }
}
