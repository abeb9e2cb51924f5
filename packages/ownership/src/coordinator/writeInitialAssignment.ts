import type { DataCentreId, Milliseconds, ServiceId } from "@arbutusdoor/common";
import type { Service } from "@arbutusdoor/configuration";
import { sequence } from "../kernel/sequence.js";
import type { Step } from "../kernel/step.js";
import { ROW_KEYS } from "../rows/rowKeys.js";
import type { HostState } from "../state/hostState.js";
import { canWrite } from "../table/canWrite.js";
import { startTransaction } from "../table/startTransaction.js";
import { createInitialRows } from "./createInitialRows.js";
import { createPlanningContext } from "./createPlanningContext.js";
import { isServiceReady } from "./isServiceReady.js";
import { planAssignmentRow } from "./planAssignmentRow.js";
import type { PlanningContext } from "./planningContext.js";

const DELAYS_PER_RANK = 5;

/** Writes the initial assignment of keyed services that have none, all rows of a service in one transaction. */
export function writeInitialAssignment(state: HostState, now: Milliseconds): Step {
    const { configuration } = state;
    if (!configuration) {
        return { state, effects: [] };
    }
    const keyed = configuration.declaration.services.filter(service => service.kind === "keyed");
    return sequence(
        state,
        ...keyed.map(service => (current: HostState) => createFor(current, service, now)),
    );
}

function createFor(state: HostState, service: Service, now: Milliseconds): Step {
    const name = service.name as ServiceId;
    const planning = createPlanningContext(state, state.configuration!.declaration);
    const seen = recordFirstServer(planning, name, now);
    const rank = getRank(planning, name);
    const since = seen.coordinator.firstServerSeenAt[name];
    const isKnown = state.slices[name] !== undefined;
    const isDue = since !== undefined && rank >= 0
        && now - since >= rank * DELAYS_PER_RANK * state.settings.firstAssignmentDelayMs;
    const current = { ...planning, state: seen };
    if (isKnown || !isDue || !isServiceReady(current, name)) {
        return { state: seen, effects: [] };
    }
    const rows = createInitialRows(current.declaration, service, state.settings.slicesPerShard);
    const keys = rows.map(row => ROW_KEYS.assignment(name, row.shard));
    if (!canWrite(seen, keys)) {
        return { state: seen, effects: [] };
    }
    const writes = rows.map((row, index) => ({
        key: keys[index]!,
        expectedVersion: 0,
        value: planAssignmentRow(current, row) ?? row,
    }));
    return startTransaction(seen, writes, now);
}

/** Records when a service first has a server row in the data centres that this host coordinates. */
function recordFirstServer(planning: PlanningContext, service: ServiceId, now: Milliseconds): HostState {
    const { state } = planning;
    const hasServer = Object.values(planning.servers).some(row =>
        row.service === service && planning.homes.includes(row.dataCentre)
    );
    if (!hasServer || state.coordinator.firstServerSeenAt[service] !== undefined) {
        return state;
    }
    const seenSince = { ...state.coordinator.firstServerSeenAt, [service]: now };
    return { ...state, coordinator: { ...state.coordinator, firstServerSeenAt: seenSince } };
}

/**
 * Position of this data centre among those with servers of the service. The first writes the initial assignment; each of the others waits
 * longer and writes it only if none before it has.
 */
function getRank(planning: PlanningContext, service: ServiceId): number {
    const hasServer = (dataCentre: string) =>
        planning.declaration.servers.some(server =>
            server.service === service && server.dataCentre === dataCentre && !server.isDraining
        );
    const centres = planning.declaration.dataCentres.filter(hasServer) as DataCentreId[];
    return centres.indexOf(planning.state.self.dataCentre);
}
