import type { FaultModel } from "./faultModel.js";

/** A network that holds orders for as long as a partition lasts, and coordinators that learn of new incarnations at once. */
export const DEFAULT_FAULT_MODEL: FaultModel = {
    dropAfterMs: 0,
    isAddressReused: false,
    registryLagMs: 0,
    isOneSided: false,
    isEraIgnored: false,
};
