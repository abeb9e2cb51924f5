import type { Milliseconds } from "@arbutusdoor/common";
import { abandonTakeover } from "../coordinator/abandonTakeover.js";
import { getAllGrantors } from "../coordinator/getAllGrantors.js";
import type { Step } from "../kernel/step.js";
import { getIncarnationName } from "../state/getIncarnationName.js";
import type { HostIdentity } from "../state/hostIdentity.js";
import type { HostState } from "../state/hostState.js";
import type { OwnershipMessage } from "./ownershipMessage.js";

/** Handles a grantor's answer to a revocation of this host's present takeover attempt. */
export function handleRevocationAnswer(
    state: HostState,
    from: HostIdentity,
    message: Extract<OwnershipMessage, { kind: "barConfirmed" | "barRefused"; }>,
    now: Milliseconds,
): Step {
    const { server, barId } = message;
    const attempt = state.coordinator.takeovers[server];
    const row = state.servers[server]?.value;
    if (!attempt || !row || attempt.barId !== barId) {
        return { state, effects: [] };
    }
    if (message.kind === "barRefused") {
        return abandonTakeover(state, server, now);
    }
    const isMember = getAllGrantors(row).some(member =>
        member.host === from.host && member.incarnation === from.incarnation
    );
    if (!isMember || message.basisVersion !== attempt.basisVersion) {
        return { state, effects: [] };
    }
    const name = getIncarnationName(from);
    const recorded = {
        ...attempt,
        confirmed: attempt.confirmed.includes(name) ? attempt.confirmed : [...attempt.confirmed, name],
        denials: { ...attempt.denials, [name]: message.denied },
    };
    const takeovers = { ...state.coordinator.takeovers, [server]: recorded };
    return {
        state: { ...state, isPlanDue: true, coordinator: { ...state.coordinator, takeovers } },
        effects: [],
    };
}
