import type { Milliseconds, ServerId } from "@arbutusdoor/common";
import { sendTo } from "../kernel/sendTo.js";
import { sequence } from "../kernel/sequence.js";
import type { Step } from "../kernel/step.js";
import type { HostState } from "../state/hostState.js";
import type { Revocation } from "../state/revocation.js";
import { listUnsupported } from "./listUnsupported.js";

/**
 * Answers pending revocations: refuses if the server has answered this host since, and confirms once the latest lease that this host may
 * have renewed has expired. From the confirmation on, this host renews and sends nothing.
 */
export function answerRevocations(state: HostState, now: Milliseconds): Step {
    const pending = Object.entries(state.revocations).flatMap(([server, revocations]) =>
        revocations.filter(revocation => revocation.state === "pending").map(revocation => ({
            server: server as ServerId,
            revocation,
        }))
    );
    return sequence(
        state,
        ...pending.map(({ server, revocation }) => (current: HostState) =>
            answerRevocation(current, server, revocation, now)
        ),
    );
}

function answerRevocation(
    state: HostState,
    server: ServerId,
    revocation: Revocation,
    now: Milliseconds,
): Step {
    const grant = state.grants[server];
    const { barId, basisVersion, coordinator } = revocation;
    const isAlive = grant?.incarnation === revocation.incarnation
        && grant.readings.length > 0
        && grant.repliedAt >= revocation.receivedAt
        && grant.otherIncarnation === undefined;
    if (isAlive) {
        const ended = setRevocation(state, server, { ...revocation, state: "ended" });
        return sendTo(ended, coordinator.host, { kind: "barRefused", server, barId }, now);
    }
    if (now <= (grant?.latestLeaseEnd ?? 0)) {
        return { state, effects: [] };
    }
    const confirmed = setRevocation(state, server, { ...revocation, state: "confirmed" });
    const denied = listUnsupported(confirmed, server, basisVersion, now);
    const answer = { kind: "barConfirmed", server, barId, basisVersion, denied } as const;
    const step = sendTo(confirmed, coordinator.host, answer, now);
    return {
        state: step.state,
        effects: [...step.effects, { kind: "log", event: "serverBarred", fields: { server, barId } }],
    };
}

function setRevocation(state: HostState, server: ServerId, revocation: Revocation): HostState {
    const isSame = (other: Revocation) =>
        other.coordinator.host === revocation.coordinator.host
        && other.coordinator.incarnation === revocation.coordinator.incarnation;
    const revocations = (state.revocations[server] ?? []).map(other => isSame(other) ? revocation : other);
    return { ...state, revocations: { ...state.revocations, [server]: revocations } };
}
