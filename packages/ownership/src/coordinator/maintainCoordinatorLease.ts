import type { Milliseconds } from "@arbutusdoor/common";
import { getJitter } from "../kernel/getJitter.js";
import type { Step } from "../kernel/step.js";
import type { CoordinatorRow } from "../rows/coordinatorRow.js";
import { ROW_KEYS } from "../rows/rowKeys.js";
import type { HostState } from "../state/hostState.js";
import { canWrite } from "../table/canWrite.js";
import { startRead } from "../table/startRead.js";
import { startTransaction } from "../table/startTransaction.js";
import { isIsolated } from "./isIsolated.js";

const LEASES_BEFORE_FORCED_CLAIM = 3;
const RENEWALS_BEFORE_CLAIM = 1.5;

/**
 * Renews the coordinator row if this host holds it. Otherwise watches the row while no coordinator is heard from, and claims it when it is
 * not renewed.
 */
export function maintainCoordinatorLease(state: HostState, now: Milliseconds): Step {
    const key = ROW_KEYS.decider(state.self.dataCentre);
    const isAging = state.coordinator.isHeld && isIsolated(state, now);
    if (now < state.coordinator.nextCheckAt || !canWrite(state, [key]) || isAging) {
        return { state, effects: [] };
    }
    if (state.coordinator.isHeld) {
        return writeRow(delayCheck(state, now, 1), state.isResigning, now);
    }
    const hasCoordinator = now - state.coordinator.lastContactAt < state.settings.deciderLeaseMs / 2
        && !isHolderGone(state);
    if (hasCoordinator || state.isResigning) {
        return { state, effects: [] };
    }
    const waiting = delayCheck(state, now, 0.5 + getJitter(state, "decider") / 2);
    return isClaimable(state, now) ? writeRow(waiting, false, now) : startRead(waiting, { keys: [key] }, now);
}

function delayCheck(state: HostState, now: Milliseconds, share: number): HostState {
    const nextCheckAt = now + state.settings.deciderRenewMs * share;
    return { ...state, coordinator: { ...state.coordinator, nextCheckAt } };
}

/**
 * Whether the row may be claimed: it was read recently, and is absent, released or not renewed, or no coordinator was heard from for long.
 */
function isClaimable(state: HostState, now: Milliseconds): boolean {
    const { row, rowSeenAt, lastContactAt, checkedAt } = state.coordinator;
    const { deciderLeaseMs, deciderRenewMs } = state.settings;
    if (checkedAt === 0 || now - checkedAt > deciderLeaseMs) {
        return false;
    }
    const wait = isHolderGone(state) ? deciderRenewMs * RENEWALS_BEFORE_CLAIM : deciderLeaseMs;
    const isExpired = now - rowSeenAt >= wait && checkedAt - rowSeenAt >= wait / 2;
    const isUnresponsive = now - lastContactAt >= LEASES_BEFORE_FORCED_CLAIM * deciderLeaseMs;
    return !row || row.value.isReleased || isExpired || isUnresponsive;
}

/** Whether the link to the known coordinator is down, or its host has restarted. */
function isHolderGone(state: HostState): boolean {
    const holder = state.coordinators[state.self.dataCentre]?.identity;
    const peer = holder && state.peers[holder.host];
    return peer !== undefined && (!peer.isUp || peer.identity.incarnation !== holder?.incarnation);
}

function writeRow(state: HostState, isReleased: boolean, now: Milliseconds): Step {
    const { row, isHeld } = state.coordinator;
    const { host, incarnation, dataCentre } = state.self;
    const term = (row?.value.term ?? 0) + (isHeld ? 0 : 1);
    const value: CoordinatorRow = { dataCentre, host, incarnation, term, isReleased, operationId: "" };
    const key = ROW_KEYS.decider(dataCentre);
    return startTransaction(state, [{ key, expectedVersion: row?.version ?? 0, value }], now);
}
