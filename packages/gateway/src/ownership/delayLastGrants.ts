import type { Milliseconds } from "@arbutusdoor/common";
import { getHolderName } from "./getHolderName.js";
import type { KeyMap } from "./keyMap.js";
import type { KeyOrder } from "./keyOrder.js";
import type { LastGrant } from "./lastGrant.js";
import type { RangeProgress } from "./rangeProgress.js";

/**
 * Records that a grant may have been sent as late as `at`, for all ranges with keys of it: its range may have been divided or moved since. A
 * later order that turns out not to have been sent must not take this back.
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
        const known = progress.get(first);
        const grant = known?.lastGrants.get(name);
        if (known && grant && first <= order.last && last >= order.first) {
            known.lastGrants.set(name, delay(grant, at));
            const { lastOrder } = known;
            if (lastOrder?.grantBefore && getHolderName(lastOrder.order.holder) === name) {
                known.lastOrder = { ...lastOrder, grantBefore: delay(lastOrder.grantBefore, at) };
            }
        }
    }
}

function delay(grant: LastGrant, at: Milliseconds): LastGrant {
    return { ...grant, at: Math.max(grant.at, at) };
}
