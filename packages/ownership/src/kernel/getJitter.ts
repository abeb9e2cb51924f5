import { getKeyHash } from "@arbutusdoor/common";
import type { HostState } from "../state/hostState.js";

const HASH_SPAN = 2 ** 32;

/** Returns a fraction from 0 inclusive to 1 exclusive that differs between hosts and moments, and is the same for the same state. */
export function getJitter(state: HostState, purpose: string): number {
    return getKeyHash(`${state.self.host}/${state.self.incarnation}/${purpose}/${state.counter}`) / HASH_SPAN;
}
