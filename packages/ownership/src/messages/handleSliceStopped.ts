import { getStopProofKey } from "../coordinator/getStopProofKey.js";
import type { Step } from "../kernel/step.js";
import type { HostIdentity } from "../state/hostIdentity.js";
import type { HostState } from "../state/hostState.js";
import type { OwnershipMessage } from "./ownershipMessage.js";

/** Records a stop proof of a former holder that the rows name; ignores others. */
export function handleSliceStopped(
    state: HostState,
    from: HostIdentity,
    message: Extract<OwnershipMessage, { kind: "sliceStopped"; }>,
): Step {
    const path = getStopProofKey(message.service, message);
    const name = `${from.host}/${from.incarnation}`;
    const known = state.coordinator.stopProofs[path] ?? [];
    const slices = state.slices[message.service]?.byHolder[message.server] ?? [];
    const isNeeded = slices.some(slice =>
        slice.former.some(former => getStopProofKey(message.service, former) === path)
    );
    if (!isNeeded || known.includes(name)) {
        return { state, effects: [] };
    }
    const stopProofs = { ...state.coordinator.stopProofs, [path]: [...known, name] };
    return {
        state: { ...state, isPlanDue: true, coordinator: { ...state.coordinator, stopProofs } },
        effects: [],
    };
}
