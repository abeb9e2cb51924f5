import { getHolderName } from "./getHolderName.js";
import type { KeyOrder } from "./keyOrder.js";
import type { RangeProgress } from "./rangeProgress.js";

/** Restores what the owner of a range may hold after an order that was not sent, unless another grant followed it. */
export function restoreLastGrant({ lastGrants, lastOrder }: RangeProgress, order: KeyOrder): void {
    if (lastOrder?.order !== order) {
        return;
    }
    const name = getHolderName(order.holder);
    if (lastOrder.grantBefore) {
        lastGrants.set(name, lastOrder.grantBefore);
    }
    else {
        lastGrants.delete(name);
    }
}
