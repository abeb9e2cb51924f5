import type { Step } from "../kernel/step.js";
import { getIncarnationName } from "../state/getIncarnationName.js";
import type { HostIdentity } from "../state/hostIdentity.js";
import type { HostState } from "../state/hostState.js";
import type { OwnershipMessage } from "./ownershipMessage.js";

const PARTS_PER_MILLION = 1_000_000;

/** Records support for this host. It counts from the time at which this host requested it. */
export function handleSupport(
    state: HostState,
    from: HostIdentity,
    message: Extract<OwnershipMessage, { kind: "promised"; }>,
): Step {
    const { promiseMs, clockDriftPpm } = state.settings;
    const until = message.askedAt + promiseMs * (1 - clockDriftPpm / PARTS_PER_MILLION);
    const name = getIncarnationName(from);
    const grants = { ...state.grants };
    for (const server of message.servers) {
        const grant = grants[server];
        if (grant) {
            const supportUntil = {
                ...grant.supportUntil,
                [name]: Math.max(until, grant.supportUntil[name] ?? 0),
            };
            grants[server] = { ...grant, supportUntil };
        }
    }
    return { state: { ...state, grants }, effects: [] };
}
