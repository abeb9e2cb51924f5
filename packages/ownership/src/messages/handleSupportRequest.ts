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
 * Promises a grantor, for each server that it asks about, not to count it barred until the promise and every lease that may be renewed
 * under it have ended. No promise is given while a bar stands, nor to a host whose row of the server is older: it gets the row instead,
 * so that a host that was passed over learns of it before it can renew again.
 */
export function handleSupportRequest(
    state: HostState,
    from: HostIdentity,
    message: Extract<OwnershipMessage, { kind: "promisesWanted"; }>,
    now: Milliseconds,
): Step {
    const { promiseMs, leaseMs, clockDriftPpm } = state.settings;
    const bound = now + (promiseMs + leaseMs) * (1 + clockDriftPpm / PARTS_PER_MILLION);
    const given: ServerId[] = [];
    const rows: Row[] = [];
    for (const { server, rowVersion } of message.servers) {
        const row = state.servers[server];
        const hasBar = (state.revocations[server] ?? []).some(bar => bar.state !== "lifted");
        if (row && row.version > rowVersion) {
            rows.push({ key: ROW_KEYS.server(server), version: row.version, value: row.value });
        }
        else if (!hasBar) {
            given.push(server);
        }
    }
    const effects: Effect[] = [];
    if (rows.length > 0) {
        effects.push({ kind: "sendPeer", to: from.host, message: { kind: "rows", rows } });
    }
    if (given.length > 0) {
        const promised = { kind: "promised", askedAt: message.askedAt, servers: given } as const;
        effects.push({ kind: "sendPeer", to: from.host, message: promised });
    }
    return { state: notePromises(state, given, getIncarnationName(from), bound, now), effects };
}

function notePromises(
    state: HostState,
    servers: readonly ServerId[],
    name: string,
    bound: Milliseconds,
    now: Milliseconds,
): HostState {
    const given = { ...state.supportGivenUntil };
    for (const server of servers) {
        const running = Object.entries(given[server] ?? {}).filter(([, until]) => until > now);
        given[server] = { ...Object.fromEntries(running), [name]: bound };
    }
    return { ...state, supportGivenUntil: given };
}
