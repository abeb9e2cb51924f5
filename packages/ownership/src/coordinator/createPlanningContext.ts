import type { ServerId } from "@arbutusdoor/common";
import type { Declaration } from "@arbutusdoor/configuration";
import type { ServerRow } from "../rows/serverRow.js";
import type { HostState } from "../state/hostState.js";
import { getCoordinatedDataCentres } from "./getCoordinatedDataCentres.js";
import type { PlanningContext } from "./planningContext.js";

/**
 * Gathers what one planning pass is based on.
 * @param changed server rows as the planned transaction will leave them
 */
export function createPlanningContext(
    state: HostState,
    declaration: Declaration,
    changed: readonly ServerRow[] = [],
): PlanningContext {
    const rows = Object.values(state.servers).map(({ value }) => value);
    const servers = Object.fromEntries([...rows, ...changed].map(row => [row.server, row]));
    const counts = new Map<ServerId, number>();
    const moves = new Map<string, number>();
    for (const [service, index] of Object.entries(state.slices)) {
        const slices = Object.values(index.byName);
        const moving = slices.filter(slice => slice.former.length > 0).length;
        moves.set(service, state.settings.movesInProgress - moving);
        for (const { owner } of slices) {
            if (owner) {
                counts.set(owner.server, (counts.get(owner.server) ?? 0) + 1);
            }
        }
    }
    return {
        state,
        declaration,
        homes: getCoordinatedDataCentres(state),
        servers,
        counts,
        leaving: new Map(),
        moves,
    };
}
