import type { ServerId } from "@arbutusdoor/common";
import type { HostState } from "../state/hostState.js";

/** Whether this host has confirmed a revocation for a server, and so renews and sends nothing to it. */
export function isRevoked(state: HostState, server: ServerId): boolean {
    return (state.revocations[server] ?? []).some(revocation => revocation.state === "confirmed");
}
