import { getAllGrantors } from "../coordinator/getAllGrantors.js";
import type { Step } from "../kernel/step.js";
import { getIncarnationName } from "../state/getIncarnationName.js";
import type { HostIdentity } from "../state/hostIdentity.js";
import type { HostState } from "../state/hostState.js";
import type { OwnershipMessage } from "./ownershipMessage.js";

/** Records that a host that a grantor list drops sends the server nothing more. */
export function handleRetired(
    state: HostState,
    from: HostIdentity,
    message: Extract<OwnershipMessage, { kind: "retired"; }>,
): Step {
    const { server, listVersion } = message;
    const row = state.servers[server]?.value;
    const isMember = row
        && getAllGrantors(row).some(member =>
            member.host === from.host && member.incarnation === from.incarnation
        );
    if (!isMember) {
        return { state, effects: [] };
    }
    const known = state.coordinator.retired[server] ?? {};
    const retired = {
        ...state.coordinator.retired,
        [server]: { ...known, [getIncarnationName(from)]: listVersion },
    };
    return {
        state: { ...state, isPlanDue: true, coordinator: { ...state.coordinator, retired } },
        effects: [],
    };
}
