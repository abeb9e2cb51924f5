import {
    createRefusal,
    type Milliseconds,
    type Refusal,
    type ServerId,
    type ServiceId,
    type SliceId,
} from "@arbutusdoor/common";
import { isGrantorOf } from "../grantor/isGrantorOf.js";
import type { Slice } from "../rows/slice.js";
import type { HostState } from "../state/hostState.js";
import { getSlicePath } from "./getSlicePath.js";
import { isGrantReady } from "./isGrantReady.js";
import { isRevoked } from "./isRevoked.js";

/**
 * Checks whether this host, as grantor, may send a request for a slice to a server now; returns `undefined` if it may, else the refusal.
 * Must be called right before the request is handed to the network.
 * @param generation fencing token of the slice under which the request was routed
 */
export function mayServe(
    state: HostState,
    server: ServerId,
    service: ServiceId,
    slice: SliceId,
    generation: number,
    now: Milliseconds,
): Refusal | undefined {
    const row = state.servers[server]?.value;
    const grant = state.grants[server];
    if (!row || !grant || isRetiring(state, server)) {
        return createRefusal("staleOwner", "this host may not send to the server");
    }
    const known = findSlice(state, service, slice);
    if (known?.generation !== generation || known.owner?.server !== server) {
        return createRefusal("staleOwner", "the key has another owner by now");
    }
    if (known.former.length > 0) {
        return createRefusal("ownerMoving", "the key is on its way to another server");
    }
    const isOwner = known.owner.epoch === row.epoch && known.owner.incarnation === row.incarnation;
    if (!isOwner || grant.epoch !== row.epoch) {
        return createRefusal("noOwner", "the server that owned the key was lost");
    }
    if (isRevoked(state, server) || now >= grant.earliestLeaseEnd || !isGrantReady(state, grant)) {
        return createRefusal("ownerUnreachable", "the server's lease is not fresh on this host");
    }
    if (row.checksOrders && grant.taken[getSlicePath(service, slice)] !== generation) {
        return createRefusal("noOwner", "the server has not taken the key yet");
    }
    return undefined;
}

function findSlice(state: HostState, service: ServiceId, slice: SliceId): Slice | undefined {
    return state.slices[service]?.byName[slice];
}

function isRetiring(state: HostState, server: ServerId): boolean {
    const change = state.servers[server]?.value.change;
    return change !== undefined && !isGrantorOf(change, state.self);
}
