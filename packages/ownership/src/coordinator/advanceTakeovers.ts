import type { Milliseconds, ServerId } from "@arbutusdoor/common";
import { omit } from "../kernel/omit.js";
import { sendTo } from "../kernel/sendTo.js";
import { sequence } from "../kernel/sequence.js";
import type { Step } from "../kernel/step.js";
import { ROW_KEYS } from "../rows/rowKeys.js";
import type { ServerRow } from "../rows/serverRow.js";
import type { Versioned } from "../rows/versioned.js";
import { getIncarnationName } from "../state/getIncarnationName.js";
import type { HostState } from "../state/hostState.js";
import type { TakeoverAttempt } from "../state/takeoverAttempt.js";
import { getAllGrantors } from "./getAllGrantors.js";
import { getCoordinatedDataCentres } from "./getCoordinatedDataCentres.js";
import { isTakeoverDue } from "./isTakeoverDue.js";

/** Begins takeover attempts for suspected servers, repeats unanswered revocations, and drops attempts that a newer row has superseded. */
export function advanceTakeovers(state: HostState, now: Milliseconds): Step {
    const homes = getCoordinatedDataCentres(state);
    const rows = Object.values(state.servers).filter(({ value }) => homes.includes(value.dataCentre));
    return sequence(state, ...rows.map(row => (current: HostState) => advanceTakeover(current, row, now)));
}

function advanceTakeover(state: HostState, row: Versioned<ServerRow>, now: Milliseconds): Step {
    const { server } = row.value;
    const attempt = state.coordinator.takeovers[server];
    if (attempt && attempt.basisVersion < row.version) {
        return advanceTakeover(dropAttempt(state, server), row, now);
    }
    if (attempt) {
        const isRepeatDue = now - attempt.sentAt >= state.settings.barRepeatMs && !attempt.isAbandoned;
        return isRepeatDue
            ? sendRevocations(state, row.value, { ...attempt, sentAt: now }, now)
            : { state, effects: [] };
    }
    const isHeldOff = now < (state.coordinator.nextTakeoverAt[server] ?? 0);
    if (isHeldOff || !isTakeoverDue(state, row.value, now)) {
        return { state, effects: [] };
    }
    const counter = state.counter + 1;
    const begun: TakeoverAttempt = {
        barId: counter,
        basisVersion: row.version,
        incarnation: row.value.incarnation,
        confirmed: [],
        denials: {},
        operations: [],
        isAbandoned: false,
        sentAt: now,
    };
    const step = sendRevocations({ ...state, counter }, row.value, begun, now);
    return {
        state: step.state,
        effects: [{ kind: "log", event: "serverSuspected", fields: { server } }, ...step.effects],
    };
}

function sendRevocations(
    state: HostState,
    value: ServerRow,
    attempt: TakeoverAttempt,
    now: Milliseconds,
): Step {
    const { server } = value;
    const takeovers = { ...state.coordinator.takeovers, [server]: attempt };
    const recorded = { ...state, coordinator: { ...state.coordinator, takeovers } };
    const { barId, basisVersion, incarnation } = attempt;
    const row = { key: ROW_KEYS.server(server), version: basisVersion, value };
    const isAnswered = (name: string) => value.list.promises <= 1 && attempt.confirmed.includes(name);
    const unanswered = getAllGrantors(value).filter(member => !isAnswered(getIncarnationName(member)));
    return sequence(
        recorded,
        ...unanswered.map(member => (current: HostState) =>
            sendTo(current, member.host, { kind: "bar", server, incarnation, barId, basisVersion, row }, now)
        ),
    );
}

function dropAttempt(state: HostState, server: ServerId): HostState {
    const takeovers = omit(state.coordinator.takeovers, server);
    return { ...state, coordinator: { ...state.coordinator, takeovers } };
}
