import type { Milliseconds } from "@arbutusdoor/common";
import { listUnsupported } from "../grantor/listUnsupported.js";
import { sendTo } from "../kernel/sendTo.js";
import { sequence } from "../kernel/sequence.js";
import type { Step } from "../kernel/step.js";
import { ROW_KEYS } from "../rows/rowKeys.js";
import type { HostIdentity } from "../state/hostIdentity.js";
import type { HostState } from "../state/hostState.js";
import type { Revocation } from "../state/revocation.js";
import { adoptRows } from "../table/adoptRows.js";
import type { OwnershipMessage } from "./ownershipMessage.js";

const REVOCATIONS_PER_SERVER = 16;

/** Handles a coordinator's revocation; it is answered once it can be. A repeat of a confirmed revocation is confirmed again. */
export function handleRevocation(
    state: HostState,
    from: HostIdentity,
    message: Extract<OwnershipMessage, { kind: "bar"; }>,
    now: Milliseconds,
): Step {
    return sequence(
        state,
        current => adoptRows(current, [message.row], now),
        current => recordRevocation(current, from, message, now),
    );
}

function recordRevocation(
    state: HostState,
    from: HostIdentity,
    message: Extract<OwnershipMessage, { kind: "bar"; }>,
    now: Milliseconds,
): Step {
    const { server, incarnation, barId, basisVersion } = message;
    const row = state.servers[server];
    if (row && row.version > basisVersion) {
        const newer = { key: ROW_KEYS.server(server), version: row.version, value: row.value };
        return {
            state,
            effects: from.host === state.self.host
                ? []
                : [{ kind: "sendPeer", to: from.host, message: { kind: "rows", rows: [newer] } }],
        };
    }
    const revocations = state.revocations[server] ?? [];
    const isSame = (revocation: Revocation) =>
        revocation.coordinator.host === from.host && revocation.coordinator.incarnation === from.incarnation;
    const known = revocations.find(isSame);
    const isOld = known !== undefined
        && (known.barId > barId || (known.barId === barId && known.state !== "confirmed"));
    const others = revocations.filter(revocation => !isSame(revocation));
    if (isOld || others.length >= REVOCATIONS_PER_SERVER) {
        return { state, effects: [] };
    }
    const revocation: Revocation = {
        coordinator: from,
        barId,
        basisVersion,
        incarnation,
        receivedAt: now,
        state: "pending",
    };
    if (known?.barId === barId) {
        const denied = listUnsupported(state, server, basisVersion, now);
        return sendTo(state, from.host, { kind: "barConfirmed", server, barId, basisVersion, denied }, now);
    }
    return {
        state: { ...state, revocations: { ...state.revocations, [server]: [...others, revocation] } },
        effects: [],
    };
}
