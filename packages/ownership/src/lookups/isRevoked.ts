import type { ServerId } from "@arbutusdoor/common";
import type { HostState } from "../state/hostState.js";

/** Whether this host promised some decider to renew and send nothing to a server. */
export function isRevoked(state: HostState, server: ServerId): boolean {
    return (state.revocations[server] ?? []).some(bar => bar.state === "confirmed");
}
