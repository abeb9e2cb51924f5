import type { Milliseconds, ServiceId } from "@arbutusdoor/common";
import { isGrantorOf } from "../grantor/isGrantorOf.js";
import type { GrantorList } from "../rows/grantorList.js";
import type { ServerRow } from "../rows/serverRow.js";
import { getIncarnationName } from "../state/getIncarnationName.js";
import type { HostState } from "../state/hostState.js";
import { chooseGrantors } from "./chooseGrantors.js";
import { createGrantorList } from "./createGrantorList.js";
import { getReports } from "./getReports.js";
import { isHostAttestedLost } from "./isHostAttestedLost.js";
import { isIsolated } from "./isIsolated.js";
import { mayHoldSlices } from "./mayHoldSlices.js";

/** Returns the next value of a server's row, apart from takeovers, or `undefined` if nothing is to change. */
export function planServer(state: HostState, row: ServerRow, now: Milliseconds): ServerRow | undefined {
    const isRoleFresh = now - state.coordinator.rowSeenAt < state.settings.deciderLeaseMs;
    if (row.dataCentre !== state.self.dataCentre || !isRoleFresh) {
        return undefined;
    }
    if (row.change) {
        return isChangeProved(state, row, row.change)
            ? endChange(row, row.change)
            : supersede(state, row, now);
    }
    const next = planDeclared(state, row) ?? planList(state, row, now);
    return next && isIsolated(state, now) ? undefined : next;
}

/** Returns the row with a change to the grantors that the server should have, or `undefined` if it has them. */
function planList(state: HostState, row: ServerRow, now: Milliseconds): ServerRow | undefined {
    const grantors = chooseGrantors(state, row.server, row.list.grantors, now);
    const isSame = grantors.length === row.list.grantors.length
        && grantors.every(grantor => hasGrantor(row.list, grantor));
    if (grantors.length === 0 || isSame) {
        return undefined;
    }
    return { ...row, change: createGrantorList(state.settings, row.list.listVersion + 1, grantors) };
}

/**
 * Returns the row brought in line with the declaration, or `undefined` if it is. The service changes only once the server holds nothing.
 */
function planDeclared(state: HostState, row: ServerRow): ServerRow | undefined {
    const declared = state.configuration?.declaration.servers.find(other => other.name === row.server);
    if (!declared) {
        return undefined;
    }
    const { address, checksOrders } = declared;
    const service = mayHoldSlices(state, row) ? row.service : declared.service as ServiceId;
    const isSame = address === row.address && checksOrders === row.checksOrders && service === row.service;
    return isSame ? undefined : { ...row, address, checksOrders, service };
}

/**
 * Whether the new grantor list alone is in effect. A server that checks orders acknowledges it itself; for another one, each host that the
 * list drops must have reported that it sends nothing more, or be attested lost.
 */
function isChangeProved(state: HostState, row: ServerRow, change: GrantorList): boolean {
    const isAcknowledged = getReports(state, row).some(({ from, report }) =>
        isGrantorOf(change, from) && report.listVersion >= change.listVersion
    );
    if (row.checksOrders) {
        return isAcknowledged;
    }
    const dropped = row.list.grantors.filter(grantor => !hasGrantor(change, grantor));
    const retired = state.coordinator.retired[row.server] ?? {};
    return dropped.every(grantor =>
        (retired[getIncarnationName(grantor)] ?? 0) >= change.listVersion
        || isHostAttestedLost(state, grantor)
    );
}

function endChange(row: ServerRow, change: GrantorList): ServerRow {
    const { change: ended, ...rest } = row;
    return { ...rest, list: ended ?? change };
}

/**
 * Replaces a list change of which no host remains by another one. All grantors so far stay in effect until the server acknowledges the new
 * list.
 */
function supersede(state: HostState, row: ServerRow, now: Milliseconds): ServerRow | undefined {
    const change = row.change!;
    const grantors = chooseGrantors(state, row.server, change.grantors, now);
    const isAnyLeft = grantors.some(grantor => hasGrantor(change, grantor));
    if (isAnyLeft || grantors.length === 0 || isIsolated(state, now)) {
        return undefined;
    }
    const joined = [
        ...row.list.grantors,
        ...change.grantors.filter(grantor => !hasGrantor(row.list, grantor)),
    ];
    return {
        ...row,
        list: {
            listVersion: change.listVersion,
            grantors: joined,
            promises: Math.min(row.list.promises, change.promises),
        },
        change: createGrantorList(state.settings, change.listVersion + 1, grantors),
    };
}

function hasGrantor(list: GrantorList, grantor: GrantorList["grantors"][number]): boolean {
    return list.grantors.some(other =>
        other.host === grantor.host && other.incarnation === grantor.incarnation
    );
}
