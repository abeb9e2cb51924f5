import type { Row } from "@arbutusdoor/clients";
import type { Milliseconds, ServerId } from "@arbutusdoor/common";
import type { Effect } from "../kernel/effect.js";
import type { Step } from "../kernel/step.js";
import { ROW_KEYS } from "../rows/rowKeys.js";
import { getIncarnationName } from "../state/getIncarnationName.js";
import type { HostIdentity } from "../state/hostIdentity.js";
import type { HostState } from "../state/hostState.js";
import type { OwnershipMessage } from "./ownershipMessage.js";

const PARTS_PER_MILLION = 1_000_000;

/**
 * Gives a grantor support for each server that it names: this host does not count it as unsupported until the support and every lease that
 * may be renewed under it have expired. None is given while a revocation is pending or in force, nor to a host whose row of the server is
 * older: it gets the row instead, so that a host that has lost support learns of the takeover before it can renew again.
 */
export function handleSupportRequest(
    state: HostState,
    from: HostIdentity,
    message: Extract<OwnershipMessage, { kind: "promisesWanted"; }>,
    now: Milliseconds,
): Step {
    const { promiseMs, leaseMs, clockDriftPpm } = state.settings;
    const protectedUntil = now + (promiseMs + leaseMs) * (1 + clockDriftPpm / PARTS_PER_MILLION);
    const given: ServerId[] = [];
    const rows: Row[] = [];
    for (const { server, rowVersion } of message.servers) {
        const row = state.servers[server];
        const hasRevocation = (state.revocations[server] ?? []).some(revocation =>
            revocation.state !== "ended"
        );
        if (row && row.version > rowVersion) {
            rows.push({ key: ROW_KEYS.server(server), version: row.version, value: row.value });
        }
        else if (!hasRevocation) {
            given.push(server);
        }
    }
    const effects: Effect[] = [];
    if (rows.length > 0) {
        effects.push({ kind: "sendPeer", to: from.host, message: { kind: "rows", rows } });
    }
    if (given.length > 0) {
        const support = { kind: "promised", askedAt: message.askedAt, servers: given } as const;
        effects.push({ kind: "sendPeer", to: from.host, message: support });
    }
    return { state: recordSupport(state, given, getIncarnationName(from), protectedUntil, now), effects };
}

function recordSupport(
    state: HostState,
    servers: readonly ServerId[],
    name: string,
    protectedUntil: Milliseconds,
    now: Milliseconds,
): HostState {
    const given = { ...state.supportGivenUntil };
    for (const server of servers) {
        const running = Object.entries(given[server] ?? {}).filter(([, until]) => until > now);
        given[server] = { ...Object.fromEntries(running), [name]: protectedUntil };
    }
    return { ...state, supportGivenUntil: given };
}
