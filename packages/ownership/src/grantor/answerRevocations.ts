import type { Milliseconds, ServerId } from "@arbutusdoor/common";
import { sendTo } from "../kernel/sendTo.js";
import { sequence } from "../kernel/sequence.js";
import type { Step } from "../kernel/step.js";
import type { HostState } from "../state/hostState.js";
import type { Revocation } from "../state/revocation.js";
import { listUnsupported } from "./listUnsupported.js";

/**
 * Answers the bars that wait: refuses when the server has answered this host since, and confirms once the latest lease that this
 * host may have renewed has ended. From the confirmation on, nothing is renewed or sent.
 */
export function answerRevocations(state: HostState, now: Milliseconds): Step {
    const pending = Object.entries(state.revocations).flatMap(([server, bars]) =>
        bars.filter(bar => bar.state === "pending").map(bar => ({ server: server as ServerId, bar }))
    );
    return sequence(
        state,
        ...pending.map(({ server, bar }) => (current: HostState) => settleBar(current, server, bar, now)),
    );
}

function settleBar(state: HostState, server: ServerId, bar: Revocation, now: Milliseconds): Step {
    const grant = state.grants[server];
    const { barId, basisVersion, coordinator: decider } = bar;
    const isAlive = grant?.incarnation === bar.incarnation
        && grant.readings.length > 0
        && grant.repliedAt >= bar.receivedAt
        && grant.otherIncarnation === undefined;
    if (isAlive) {
        const lifted = setBar(state, server, { ...bar, state: "lifted" });
        return sendTo(lifted, decider.host, { kind: "barRefused", server, barId }, now);
    }
    if (now <= (grant?.latestLeaseEnd ?? 0)) {
        return { state, effects: [] };
    }
    const confirmed = setBar(state, server, { ...bar, state: "confirmed" });
    const denied = listUnsupported(confirmed, server, basisVersion, now);
    const answer = { kind: "barConfirmed", server, barId, basisVersion, denied } as const;
    const step = sendTo(confirmed, decider.host, answer, now);
    return {
        state: step.state,
        effects: [...step.effects, { kind: "log", event: "serverBarred", fields: { server, barId } }],
    };
}

function setBar(state: HostState, server: ServerId, bar: Revocation): HostState {
    const isSame = (other: Revocation) =>
        other.coordinator.host === bar.coordinator.host
        && other.coordinator.incarnation === bar.coordinator.incarnation;
    const bars = (state.revocations[server] ?? []).map(other => isSame(other) ? bar : other);
    return { ...state, revocations: { ...state.revocations, [server]: bars } };
}
