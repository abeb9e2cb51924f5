import type { Milliseconds } from "@arbutusdoor/common";

/** A coordinator of 500 ranges uses up to half a core while keys move. */
const COORDINATOR_CORES = 0.5;
/** Longer than the time between two reads of the lease by hosts that look for a coordinator. */
const SMALL_HOST_DELAY_MS = 600;

/** Returns how long a host leaves a free coordinator lease to others, since it has too little processor time beside its callers. */
export function getClaimDelay(processorCores: number): Milliseconds {
    return processorCores < COORDINATOR_CORES ? SMALL_HOST_DELAY_MS : 0;
}
