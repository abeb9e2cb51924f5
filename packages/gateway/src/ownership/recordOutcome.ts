import type { Milliseconds } from "@arbutusdoor/common";
import type { OrderOutcome } from "../orders/orderOutcome.js";
import { getHolderName } from "./getHolderName.js";
import type { KeyOrder } from "./keyOrder.js";
import type { RangeProgress } from "./rangeProgress.js";
import { restoreLastGrant } from "./restoreLastGrant.js";

/** Records the outcome of an order, unless it was refused. Returns whether the owner has now confirmed its first grant. */
export function recordOutcome(
    progress: RangeProgress,
    order: KeyOrder,
    outcome: OrderOutcome,
    now: Milliseconds,
    retryMs: Milliseconds,
): boolean {
    if (outcome.kind === "unsent" || outcome.kind === "notConnected") {
        restoreLastGrant(progress, order);
    }
    if (outcome.kind !== "done") {
        progress.dueAt = now + retryMs;
        return false;
    }
    if (order.kind === "release") {
        progress.lastGrants.delete(getHolderName(order.holder));
        progress.handover = outcome.handover ?? progress.handover;
        progress.dueAt = now;
        return false;
    }
    const isFirst = !progress.isHeld;
    progress.isHeld = true;
    progress.answeredAt = now;
    progress.handover = undefined;
    return isFirst;
}
