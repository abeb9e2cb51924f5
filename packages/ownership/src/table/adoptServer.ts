import type { Row } from "@arbutusdoor/clients";
import type { Milliseconds } from "@arbutusdoor/common";
import { syncGrant } from "../grantor/syncGrant.js";
import { omit } from "../kernel/omit.js";
import type { Step } from "../kernel/step.js";
import { ServerRow } from "../rows/serverRow.js";
import type { HostState } from "../state/hostState.js";
import { getServerEvents } from "./getServerEvents.js";

/** Adds a committed server row to the state, unless a newer one is known. Revocations on older versions end with it. */
export function adoptServer(state: HostState, row: Row, now: Milliseconds): Step {
    if (row.version <= getKnownVersion(state, row)) {
        return { state, effects: [] };
    }
    const parsed = ServerRow.safeParse(row.value);
    if (!parsed.success) {
        return { state, effects: [] };
    }
    const { server } = parsed.data;
    const servers = { ...state.servers, [server]: { version: row.version, value: parsed.data } };
    const revocations = endRevocations(state.revocations, server, row.version);
    const adopted = { ...state, servers, revocations, isPlanDue: true };
    const before = state.servers[server]?.value;
    return {
        state: syncGrant(adopted, before, parsed.data, now),
        effects: state.coordinator.isHeld ? getServerEvents(before, parsed.data) : [],
    };
}

/** Removes the revocations on versions of the server's row before this one; a server without any has no entry. */
function endRevocations(
    revocations: HostState["revocations"],
    server: ServerRow["server"],
    version: number,
): HostState["revocations"] {
    const known = revocations[server];
    if (!known) {
        return revocations;
    }
    const remaining = known.filter(revocation => revocation.basisVersion >= version);
    return remaining.length === 0 ? omit(revocations, server) : { ...revocations, [server]: remaining };
}

function getKnownVersion(state: HostState, row: Row): number {
    const server = (row.value as Partial<ServerRow> | undefined)?.server;
    return server === undefined ? 0 : state.servers[server]?.version ?? 0;
}
