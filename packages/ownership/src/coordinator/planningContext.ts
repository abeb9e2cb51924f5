import type { DataCentreId, ServerId } from "@arbutusdoor/common";
import type { Declaration } from "@arbutusdoor/configuration";
import type { ServerRow } from "../rows/serverRow.js";
import type { HostState } from "../state/hostState.js";

/** What one planning of a decider goes by. */
export type PlanningContext = {
    readonly state: HostState;
    readonly declaration: Declaration;
    readonly homes: readonly DataCentreId[];
    /** Server rows as they are, or as they will be when the transaction that is planned has committed. */
    readonly servers: Readonly<Record<ServerId, ServerRow>>;
    /** Slices decided for each server, kept up to date while the planning assigns more. */
    readonly counts: Map<ServerId, number>;
    /** Servers whose condition this planning has looked up. */
    readonly leaving: Map<ServerId, boolean>;
    /** Planned moves that may still begin, by service. */
    readonly moves: Map<string, number>;
};
