import type { DataCentreId, ServerId } from "@arbutusdoor/common";
import type { Declaration } from "@arbutusdoor/configuration";
import type { ServerRow } from "../rows/serverRow.js";
import type { HostState } from "../state/hostState.js";

/** What one planning pass of a coordinator is based on. */
export type PlanningContext = {
    readonly state: HostState;
    readonly declaration: Declaration;
    readonly homes: readonly DataCentreId[];
    /** Server rows as they are, or as they will be once the planned transaction has committed. */
    readonly servers: Readonly<Record<ServerId, ServerRow>>;
    /** Number of slices assigned to each server, updated while the pass assigns more. */
    readonly counts: Map<ServerId, number>;
    /** Whether servers are leaving, as far as this pass has looked it up. */
    readonly leaving: Map<ServerId, boolean>;
    /** Number of planned moves that may still begin, by service. */
    readonly moves: Map<string, number>;
};
