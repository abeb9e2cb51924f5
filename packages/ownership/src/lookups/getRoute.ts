import { createRefusal, type RefusalReason, type ServiceId } from "@arbutusdoor/common";
import type { ServerRow } from "../rows/serverRow.js";
import type { HostState } from "../state/hostState.js";
import { getLiveGrantors } from "./getLiveGrantors.js";
import { getSliceOf } from "./getSliceOf.js";
import type { Route } from "./route.js";

/** Returns where a request for a key of a keyed service goes, as far as this host knows. Nothing of a refused request has run. */
export function getRoute(state: HostState, service: ServiceId, key: string): Route {
    if (!state.configuration) {
        return refuse("noConfiguration", "no configuration is in force on this host");
    }
    const isDeclared = state.configuration.declaration.services.some(other => other.name === service);
    if (!isDeclared) {
        return refuse("unknownService", "the service is not declared");
    }
    const slice = getSliceOf(state, service, key);
    if (!slice?.owner) {
        return refuse("noOwner", "no server owns the key yet");
    }
    if (slice.former.length > 0) {
        return refuse("ownerMoving", "the key is on its way to another server");
    }
    const { owner } = slice;
    const row = state.servers[owner.server]?.value;
    if (row?.epoch !== owner.epoch || row.incarnation !== owner.incarnation) {
        return refuse("noOwner", "the server that owned the key was lost");
    }
    const grantors = getLiveGrantors(state, row);
    if (grantors.length === 0) {
        return refuseUnreachable(state, row);
    }
    return {
        kind: "route",
        slice: slice.slice,
        generation: slice.generation,
        server: owner.server,
        serverIncarnation: owner.incarnation,
        address: row.address,
        grantors,
        isLocalGrantor: grantors.some(grantor => grantor.host === state.self.host),
    };
}

function refuseUnreachable(state: HostState, row: ServerRow): Route {
    const isLocal = row.dataCentre === state.self.dataCentre;
    const hasPeer = Object.values(state.peers)
        .some(peer => peer.isUp && peer.identity.dataCentre === row.dataCentre);
    if (isLocal || hasPeer) {
        return refuse("ownerUnreachable", "no entry host that may send to the key's server is reachable");
    }
    return refuse("dataCentreUnreachable", `data centre ${row.dataCentre} is not reachable from here`);
}

function refuse(reason: RefusalReason, detail: string): Route {
    return { kind: "refusal", refusal: createRefusal(reason, detail) };
}
