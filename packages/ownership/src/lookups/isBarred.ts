import type { ServerId } from "@arbutusdoor/common";
import type { HostState } from "../state/hostState.js";

/** Whether this host promised some decider to renew and send nothing to a server. */
export function isBarred(state: HostState, server: ServerId): boolean {
    return (state.bars[server] ?? []).some(bar => bar.state === "confirmed");
}
