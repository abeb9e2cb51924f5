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

/** The next value of a server's row apart from takeovers, or `undefined` when there is nothing to decide. */
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

/** The row with a change of its list to the grantors that the server should have. */
function planList(state: HostState, row: ServerRow, now: Milliseconds): ServerRow | undefined {
    const grantors = chooseGrantors(state, row.server, row.list.grantors, now);
    const isSame = grantors.length === row.list.grantors.length
        && grantors.every(grantor => hasGrantor(row.list, grantor));
    if (grantors.length === 0 || isSame) {
        return undefined;
    }
    return { ...row, change: createGrantorList(state.settings, row.list.listVersion + 1, grantors) };
}

/** The row as the declaration wants it; a server changes its service only when it holds nothing. */
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
 * Whether the server goes by the new list alone. One that checks orders says so itself; for another one, each host that the list drops
 * must have said that it sends nothing more.
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

/** A change none of whose hosts lives is followed by another; all hosts so far go on counting until the server acknowledges that one. */
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
