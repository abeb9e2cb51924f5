import type { Milliseconds } from "@arbutusdoor/common";
import { getJitter } from "../kernel/getJitter.js";
import { sequence } from "../kernel/sequence.js";
import type { Step } from "../kernel/step.js";
import { isGrantReady } from "../lookups/isGrantReady.js";
import { ROW_KEYS } from "../rows/rowKeys.js";
import type { HostState } from "../state/hostState.js";
import { startRead } from "./startRead.js";

/** Scans the rows at an interval and when a new grantor needs them fresh, and reads back rows with an unknown outcome. */
export function scanRows(state: HostState, now: Milliseconds): Step {
    if (now < state.table.backoffUntil) {
        return { state, effects: [] };
    }
    return sequence(
        state,
        current => probeTable(current, now),
        current => readBack(current, now),
        current => scanAll(current, now),
        current => scanForGrants(current, now),
    );
}

/** Reads one row after a failure, to find out whether the table service is available again. */
function probeTable(state: HostState, now: Milliseconds): Step {
    const { failures, reads, uncertain } = state.table;
    if (failures === 0 || Object.keys(reads).length > 0 || uncertain.length > 0) {
        return { state, effects: [] };
    }
    return startRead(state, { keys: [ROW_KEYS.decider(state.self.dataCentre)] }, now);
}

function readBack(state: HostState, now: Milliseconds): Step {
    const { uncertain, reads } = state.table;
    const reading = Object.values(reads).flatMap(read => read.keys ?? []);
    const missing = uncertain.filter(key => !reading.includes(key));
    return missing.length === 0 ? { state, effects: [] } : startRead(state, { keys: missing }, now);
}

function scanAll(state: HostState, now: Milliseconds): Step {
    if (now < state.table.nextScanAt) {
        return { state, effects: [] };
    }
    const interval = state.settings.tableReadIntervalMs * (0.75 + getJitter(state, "scan") / 2);
    const timed = { ...state, table: { ...state.table, nextScanAt: now + interval } };
    return sequence(
        timed,
        current => startScan(current, ROW_KEYS.serverPrefix, now),
        current => startScan(current, ROW_KEYS.assignmentPrefix, now),
        current => startScan(current, ROW_KEYS.attestedPrefix, now),
    );
}

/** Reads the assignments at once if this host has not read them since it became grantor of a server. */
function scanForGrants(state: HostState, now: Milliseconds): Step {
    const waiting = Object.values(state.grants).filter(grant => !isGrantReady(state, grant));
    const newest = Math.max(...waiting.map(grant => grant.since));
    const isUnderWay = Object.values(state.table.reads)
        .some(read => read.prefix === ROW_KEYS.assignmentPrefix && read.count > newest);
    if (waiting.length === 0 || isUnderWay) {
        return { state, effects: [] };
    }
    return startRead(state, { prefix: ROW_KEYS.assignmentPrefix }, now);
}

function startScan(state: HostState, prefix: string, now: Milliseconds): Step {
    const isUnderWay = Object.values(state.table.reads).some(read => read.prefix === prefix);
    return isUnderWay ? { state, effects: [] } : startRead(state, { prefix }, now);
}
