import type { Milliseconds } from "@arbutusdoor/common";
import type { ServerState } from "./serverState.js";

/** The state at a time of the server's own clock: a lapsed lease holds nothing. */
export function dropLapsed(state: ServerState, now: Milliseconds): ServerState {
    const isLapsed = now >= state.leaseUntil;
    return isLapsed && state.held.size > 0 ? { ...state, held: new Map() } : state;
}
