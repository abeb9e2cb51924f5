import type { ServerId } from "@arbutusdoor/common";
import { createPlanningContext } from "../coordinator/createPlanningContext.js";
import { isEligible } from "../coordinator/isEligible.js";
import { isLeaving } from "../coordinator/isLeaving.js";
import type { HostState } from "../state/hostState.js";

/**
 * Whether a server can take slices (`active`), is to lose them (`leaving`), or does not answer as the incarnation in its row (`silent`).
 */
type ServerCondition = "active" | "leaving" | "silent";

/** Conditions of all servers that have a row. Meaningful only on the coordinator of the servers' data centre. */
export function listServerConditions(state: HostState): ReadonlyMap<ServerId, ServerCondition> {
    const conditions = new Map<ServerId, ServerCondition>();
    if (!state.configuration) {
        return conditions;
    }
    const planning = createPlanningContext(state, state.configuration.declaration);
    for (const { value } of Object.values(state.servers)) {
        const { server } = value;
        const settled = isEligible(planning, server) ? "active" : "silent";
        conditions.set(server, isLeaving(planning, server) ? "leaving" : settled);
    }
    return conditions;
}
