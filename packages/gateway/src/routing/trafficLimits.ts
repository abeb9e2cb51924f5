import type { ColdServers } from "./coldServers.js";
import type { EvacuationLimit } from "./evacuationLimit.js";

/** Limits on what servers get that the platform sets for all hosts together. */
export type TrafficLimits = { readonly cold: ColdServers; readonly evacuation: EvacuationLimit; };
