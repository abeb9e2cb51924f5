import type { Order } from "@arbutusdoor/clients";
import type { Milliseconds } from "@arbutusdoor/common";
import { dropLapsed } from "./dropLapsed.js";
import { getSliceName } from "./getSliceName.js";
import type { ServerState } from "./serverState.js";

/** The state after an order that the server takes, at a time of its own clock. */
export function applyOrder(before: ServerState, order: Order, now: Milliseconds): ServerState {
    const state = dropLapsed(before, now);
    const isNewList = order.grantors !== undefined
        && (!state.grantors || order.listVersion > state.listVersion);
    const fences = getFences(state, order);
    const kept = order.epoch > state.epoch ? new Map<string, number>() : state.held;
    const leaseUntil = Math.max(state.leaseUntil, order.leaseUntil ?? state.leaseUntil);
    const taken = now < leaseUntil ? take(kept, order, fences) : kept;
    return {
        listVersion: order.listVersion,
        grantors: isNewList ? order.grantors : state.grantors,
        epoch: order.epoch,
        leaseUntil,
        held: release(taken, fences),
        fences,
    };
}

function getFences(state: ServerState, order: Order): ReadonlyMap<string, number> {
    if (order.fence.length === 0) {
        return state.fences;
    }
    const fences = new Map(state.fences);
    for (const slice of order.fence) {
        const name = getSliceName(slice);
        fences.set(name, Math.max(slice.generation, fences.get(name) ?? 0));
    }
    return fences;
}

function take(
    held: ReadonlyMap<string, number>,
    order: Order,
    fences: ReadonlyMap<string, number>,
): ReadonlyMap<string, number> {
    if (order.take.length === 0) {
        return held;
    }
    const after = new Map(held);
    for (const slice of order.take) {
        const name = getSliceName(slice);
        const isNewer = slice.generation > (after.get(name) ?? -1);
        const isFenced = slice.generation <= (fences.get(name) ?? -1);
        if (isNewer && !isFenced) {
            after.set(name, slice.generation);
        }
    }
    return after;
}

function release(
    held: ReadonlyMap<string, number>,
    fences: ReadonlyMap<string, number>,
): ReadonlyMap<string, number> {
    const kept = [...held].filter(([name, generation]) => generation >= (fences.get(name) ?? 0));
    return kept.length === held.size ? held : new Map(kept);
}
