import type { Milliseconds } from "@arbutusdoor/common";
import { abandonTakeover } from "../coordinator/abandonTakeover.js";
import { getAllGrantors } from "../coordinator/getAllGrantors.js";
import type { Step } from "../kernel/step.js";
import { getIncarnationName } from "../state/getIncarnationName.js";
import type { HostIdentity } from "../state/hostIdentity.js";
import type { HostState } from "../state/hostState.js";
import type { OwnershipMessage } from "./ownershipMessage.js";

/** Takes a grantor's answer to a bar of this host's present round. */
export function handleRevocationAnswer(
    state: HostState,
    from: HostIdentity,
    message: Extract<OwnershipMessage, { kind: "barConfirmed" | "barRefused"; }>,
    now: Milliseconds,
): Step {
    const { server, barId } = message;
    const round = state.coordinator.takeovers[server];
    const row = state.servers[server]?.value;
    if (!round || !row || round.barId !== barId) {
        return { state, effects: [] };
    }
    if (message.kind === "barRefused") {
        return abandonTakeover(state, server, now);
    }
    const isMember = getAllGrantors(row).some(member =>
        member.host === from.host && member.incarnation === from.incarnation
    );
    if (!isMember || message.basisVersion !== round.basisVersion) {
        return { state, effects: [] };
    }
    const name = getIncarnationName(from);
    const noted = {
        ...round,
        confirmed: round.confirmed.includes(name) ? round.confirmed : [...round.confirmed, name],
        denials: { ...round.denials, [name]: message.denied },
    };
    const rounds = { ...state.coordinator.takeovers, [server]: noted };
    return {
        state: { ...state, isPlanDue: true, coordinator: { ...state.coordinator, takeovers: rounds } },
        effects: [],
    };
}
