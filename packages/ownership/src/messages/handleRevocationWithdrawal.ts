import type { Milliseconds } from "@arbutusdoor/common";
import type { Step } from "../kernel/step.js";
import type { HostIdentity } from "../state/hostIdentity.js";
import type { HostState } from "../state/hostState.js";
import type { Revocation } from "../state/revocation.js";
import type { OwnershipMessage } from "./ownershipMessage.js";

/** Handles a coordinator's withdrawal of a revocation. A later one of the same coordinator stays in force. */
export function handleRevocationWithdrawal(
    state: HostState,
    from: HostIdentity,
    message: Extract<OwnershipMessage, { kind: "unbar"; }>,
    now: Milliseconds,
): Step {
    const { server, barId } = message;
    const withdraw = (revocation: Revocation): Revocation => {
        const isSame = revocation.coordinator.host === from.host
            && revocation.coordinator.incarnation === from.incarnation;
        return isSame && revocation.barId <= barId
            ? { ...revocation, barId, state: "ended" }
            : revocation;
    };
    const revocations = { ...state.revocations, [server]: (state.revocations[server] ?? []).map(withdraw) };
    const grant = state.grants[server];
    const grants = grant ? { ...state.grants, [server]: { ...grant, nextOrderAt: now } } : state.grants;
    return { state: { ...state, revocations, grants }, effects: [] };
}
