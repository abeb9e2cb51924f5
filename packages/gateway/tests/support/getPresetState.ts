import type { Milliseconds } from "@arbutusdoor/common";
import type { HolderState } from "../../src/ownership/holderState.js";
import type { FaultModel } from "./faultModel.js";

/**
 * Returns what a coordinator knows about an incarnation of a server in runs without a registry.
 *
 * @param endedAt when the incarnation ended; `undefined` while it runs
 * @param seenUntil when the coordinator stopped learning of registry changes
 */
export function getPresetState(
    { isAddressReused, registryLagMs }: FaultModel,
    endedAt: Milliseconds | undefined,
    seenUntil: Milliseconds,
    now: Milliseconds,
): HolderState {
    const seenAt = registryLagMs > 0 ? Math.min(now, seenUntil) : now;
    if ((endedAt ?? Infinity) + registryLagMs > seenAt) {
        return "live";
    }
    return isAddressReused ? "replaced" : "dead";
}
