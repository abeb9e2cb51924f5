import type { Milliseconds } from "@arbutusdoor/common";
import type { Step } from "../kernel/step.js";
import type { Bar } from "../state/bar.js";
import type { HostIdentity } from "../state/hostIdentity.js";
import type { HostState } from "../state/hostState.js";
import type { OwnershipMessage } from "./ownershipMessage.js";

/** A decider gives a promise back. A later bar of it stays. */
export function takeUnbar(
    state: HostState,
    from: HostIdentity,
    message: Extract<OwnershipMessage, { kind: "unbar"; }>,
    now: Milliseconds,
): Step {
    const { server, barId } = message;
    const lift = (bar: Bar): Bar => {
        const isSame = bar.decider.host === from.host && bar.decider.incarnation === from.incarnation;
        return isSame && bar.barId <= barId ? { ...bar, barId, state: "lifted" } : bar;
    };
    const bars = { ...state.bars, [server]: (state.bars[server] ?? []).map(lift) };
    const grant = state.grants[server];
    const grants = grant ? { ...state.grants, [server]: { ...grant, nextOrderAt: now } } : state.grants;
    return { state: { ...state, bars, grants }, effects: [] };
}
