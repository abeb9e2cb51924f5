import type { Milliseconds } from "@arbutusdoor/common";
import type { Step } from "../kernel/step.js";
import type { HostIdentity } from "../state/hostIdentity.js";
import type { HostState } from "../state/hostState.js";
import type { Revocation } from "../state/revocation.js";
import type { OwnershipMessage } from "./ownershipMessage.js";

/** A decider gives a promise back. A later bar of it stays. */
export function handleRevocationWithdrawal(
    state: HostState,
    from: HostIdentity,
    message: Extract<OwnershipMessage, { kind: "unbar"; }>,
    now: Milliseconds,
): Step {
    const { server, barId } = message;
    const lift = (bar: Revocation): Revocation => {
        const isSame = bar.coordinator.host === from.host && bar.coordinator.incarnation === from.incarnation;
        return isSame && bar.barId <= barId ? { ...bar, barId, state: "lifted" } : bar;
    };
    const bars = { ...state.revocations, [server]: (state.revocations[server] ?? []).map(lift) };
    const grant = state.grants[server];
    const grants = grant ? { ...state.grants, [server]: { ...grant, nextOrderAt: now } } : state.grants;
    return { state: { ...state, revocations: bars, grants }, effects: [] };
}
