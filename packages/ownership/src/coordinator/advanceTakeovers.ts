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

/** Begins rounds for servers that are suspect, repeats bars without an answer, and drops rounds that a newer row has overtaken. */
export function advanceTakeovers(state: HostState, now: Milliseconds): Step {
    const homes = getCoordinatedDataCentres(state);
    const rows = Object.values(state.servers).filter(({ value }) => homes.includes(value.dataCentre));
    return sequence(state, ...rows.map(row => (current: HostState) => runRound(current, row, now)));
}

function runRound(state: HostState, row: Versioned<ServerRow>, now: Milliseconds): Step {
    const { server } = row.value;
    const round = state.coordinator.takeovers[server];
    if (round && round.basisVersion < row.version) {
        return runRound(dropRound(state, server), row, now);
    }
    if (round) {
        const isRepeatDue = now - round.sentAt >= state.settings.barRepeatMs && !round.isAbandoned;
        return isRepeatDue
            ? sendBars(state, row.value, { ...round, sentAt: now }, now)
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
    const step = sendBars({ ...state, counter }, row.value, begun, now);
    return {
        state: step.state,
        effects: [{ kind: "log", event: "serverSuspected", fields: { server } }, ...step.effects],
    };
}

function sendBars(state: HostState, value: ServerRow, round: TakeoverAttempt, now: Milliseconds): Step {
    const { server } = value;
    const takeovers = { ...state.coordinator.takeovers, [server]: round };
    const noted = { ...state, coordinator: { ...state.coordinator, takeovers: takeovers } };
    const { barId, basisVersion, incarnation } = round;
    const row = { key: ROW_KEYS.server(server), version: basisVersion, value };
    const isAnswered = (name: string) => value.list.promises <= 1 && round.confirmed.includes(name);
    const asked = getAllGrantors(value).filter(member => !isAnswered(getIncarnationName(member)));
    return sequence(
        noted,
        ...asked.map(member => (current: HostState) =>
            sendTo(current, member.host, { kind: "bar", server, incarnation, barId, basisVersion, row }, now)
        ),
    );
}

function dropRound(state: HostState, server: ServerId): HostState {
    const rounds = omit(state.coordinator.takeovers, server);
    return { ...state, coordinator: { ...state.coordinator, takeovers: rounds } };
}
