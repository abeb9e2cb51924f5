import type { Milliseconds, ServerId } from "@arbutusdoor/common";
import { sequence } from "../kernel/sequence.js";
import type { Step } from "../kernel/step.js";
import { ROW_KEYS } from "../rows/rowKeys.js";
import { getIncarnationName } from "../state/getIncarnationName.js";
import type { HostState } from "../state/hostState.js";
import { canWrite } from "../table/canWrite.js";
import { startTransaction } from "../table/startTransaction.js";
import { getAllGrantors } from "./getAllGrantors.js";
import { getAttestations } from "./getAttestations.js";
import { getCoordinatedDataCentres } from "./getCoordinatedDataCentres.js";
import { hasLostSupport } from "./hasLostSupport.js";
import { isHostAttestedLost } from "./isHostAttestedLost.js";
import { isRewriteDue } from "./isRewriteDue.js";
import { planServer } from "./planServer.js";
import { writeTakeover } from "./writeTakeover.js";

/** Writes the next decisions about servers: takeovers with complete proof that the server has stopped, and changes of server rows. */
export function planServers(state: HostState, now: Milliseconds): Step {
    const homes = getCoordinatedDataCentres(state);
    const servers = Object.values(state.servers).filter(({ value }) => homes.includes(value.dataCentre));
    return sequence(
        state,
        ...servers.map(({ value }) => (current: HostState) => planOne(current, value.server, now)),
    );
}

function planOne(state: HostState, server: ServerId, now: Milliseconds): Step {
    const row = state.servers[server]!;
    const key = ROW_KEYS.server(server);
    const attestations = getAttestations(state, row.value);
    const isAttested = attestations.some(attestation => !row.value.attestations.includes(attestation));
    if (!canWrite(state, [key])) {
        return { state, effects: [] };
    }
    if (isAttested || isAttemptComplete(state, server)) {
        return writeTakeover(state, row, attestations, now);
    }
    const next = planServer(state, row.value, now) ?? (isRewriteDue(state, row) ? row.value : undefined);
    return next
        ? startTransaction(state, [{ key, expectedVersion: row.version, value: next }], now)
        : { state, effects: [] };
}

/**
 * Whether every host that may renew the server's lease, by the row that the takeover attempt is based on, has confirmed the revocation, is
 * attested lost or has lost support.
 */
function isAttemptComplete(state: HostState, server: ServerId): boolean {
    const attempt = state.coordinator.takeovers[server];
    const row = state.servers[server]!;
    if (!attempt || attempt.isAbandoned || attempt.basisVersion !== row.version) {
        return false;
    }
    return getAllGrantors(row.value).every(member =>
        attempt.confirmed.includes(getIncarnationName(member))
        || isHostAttestedLost(state, member)
        || hasLostSupport(row.value, attempt, member)
    );
}
