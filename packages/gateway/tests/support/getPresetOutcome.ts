import type { OrderOutcome } from "../../src/orders/orderOutcome.js";
import type { KeyOrder } from "../../src/ownership/keyOrder.js";

/**
 * Returns what the sender of an order is told whatever becomes of it; `undefined` when its own answer arrives.
 *
 * @param isMistaken whether a second answer to another order of the kind is taken for its answer
 */
export function getPresetOutcome(
    { kind }: KeyOrder,
    isMistaken: boolean,
    isLost: boolean,
): OrderOutcome | undefined {
    if (isMistaken) {
        return { kind: "done", handover: kind === "release" ? "other" : undefined };
    }
    return isLost ? { kind: "unknown", reason: "lost" } : undefined;
}
