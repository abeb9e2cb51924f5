import type { Milliseconds } from "@arbutusdoor/common";
import type { ServerRow } from "../rows/serverRow.js";
import type { Grant } from "../state/grant.js";
import type { HostState } from "../state/hostState.js";
import { isGrantorOf } from "./isGrantorOf.js";

/** What is known of an incarnation of a server that has not answered yet. */
const UNKNOWN_INCARNATION = {
    readings: [],
    earliestLeaseEnd: 0,
    listVersion: 0,
    acknowledgedEpoch: 0,
    taken: {},
    fenced: {},
    otherIncarnation: undefined,
    isLeaving: false,
    isRefused: false,
} as const satisfies Partial<Grant>;

/** Creates, changes or removes this host's grant for a server after the server's row has changed. */
export function syncGrant(
    state: HostState,
    before: ServerRow | undefined,
    row: ServerRow,
    now: Milliseconds,
): HostState {
    const { [row.server]: known, ...others } = state.grants;
    const versions = getListVersions(state, row);
    if (versions.length === 0) {
        return { ...state, grants: others };
    }
    const versionsBefore = before ? getListVersions(state, before) : [];
    const isContinuous = versions.some(version => versionsBefore.includes(version));
    const isSameList = before?.list.listVersion === row.list.listVersion;
    const grant = known && isContinuous
        ? { ...updateGrant(known, row, now), listKnownSince: isSameList ? known.listKnownSince : now }
        : createGrant(state, row, now, known?.latestLeaseEnd ?? 0);
    return { ...state, grants: { ...others, [row.server]: grant } };
}

/** Versions of the lists that name this host. A gap between two rows may hide a time in which it was no grantor. */
function getListVersions(state: HostState, row: ServerRow): readonly number[] {
    return [row.list, row.change].flatMap(list =>
        list && isGrantorOf(list, state.self) ? [list.listVersion] : []
    );
}

function createGrant(
    state: HostState,
    row: ServerRow,
    now: Milliseconds,
    latestLeaseEnd: Milliseconds,
): Grant {
    return {
        server: row.server,
        incarnation: row.incarnation,
        epoch: row.epoch,
        since: state.counter,
        knownSince: now,
        latestLeaseEnd,
        repliedAt: now,
        ...UNKNOWN_INCARNATION,
        orderSentAt: undefined,
        nextOrderAt: now,
        nextReportAt: now,
        isReportedSuspect: false,
        listKnownSince: now,
        supportUntil: {},
    };
}

function updateGrant(grant: Grant, row: ServerRow, now: Milliseconds): Grant {
    const due = { ...grant, nextOrderAt: now, nextReportAt: now };
    if (grant.incarnation !== row.incarnation) {
        return {
            ...due,
            incarnation: row.incarnation,
            epoch: row.epoch,
            knownSince: now,
            repliedAt: now,
            ...UNKNOWN_INCARNATION,
        };
    }
    return grant.epoch === row.epoch
        ? due
        : { ...due, epoch: row.epoch, earliestLeaseEnd: 0, taken: {}, fenced: {} };
}
