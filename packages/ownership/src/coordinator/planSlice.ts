import type { DataCentreId, ServerId, ServiceId } from "@arbutusdoor/common";
import type { Holder } from "../rows/holder.js";
import type { Slice } from "../rows/slice.js";
import { chooseServer } from "./chooseServer.js";
import { isEligible } from "./isEligible.js";
import { isLeaving } from "./isLeaving.js";
import { isServiceReady } from "./isServiceReady.js";
import { isStopped } from "./isStopped.js";
import type { PlanningContext } from "./planningContext.js";

/**
 * Returns a slice after the next decision about it, or the same slice if there is none. A lost owner is replaced, a former holder that has
 * stopped is dropped, and an owner that is to give the slice up becomes a former holder.
 */
export function planSlice(planning: PlanningContext, service: ServiceId, slice: Slice): Slice {
    if (!planning.homes.includes(slice.home)) {
        return slice;
    }
    const former = slice.former.filter(holder => !isStopped(planning, service, holder));
    const pruned = former.length === slice.former.length ? slice : { ...slice, former };
    if (!pruned.owner) {
        return isServiceReady(planning, service) ? assign(planning, service, pruned) : pruned;
    }
    if (isLost(planning, pruned.owner)) {
        return assign(planning, service, pruned);
    }
    return pruned.former.length === 0 ? planMove(planning, service, pruned, pruned.owner) : pruned;
}

/** Whether a takeover has ended the holder's epoch. */
function isLost(planning: PlanningContext, owner: Holder): boolean {
    const row = planning.servers[owner.server];
    return row === undefined || row.epoch > owner.epoch;
}

/**
 * Assigns a slice without a live owner: to the server it is pinned to, else to the same server if it is back as a new incarnation, else to
 * one with few slices.
 */
function assign(planning: PlanningContext, service: ServiceId, slice: Slice): Slice {
    const same = slice.owner?.server;
    const pinned = getPinned(planning, service, slice);
    const isBack = same !== undefined && isEligible(planning, same);
    const isPinBack = pinned !== undefined && isEligible(planning, pinned);
    const home = getHome(planning, slice);
    const chosen = isPinBack ? pinned : isBack ? same : chooseServer(planning, service, home, same);
    const holder = chosen && getHolder(planning, chosen);
    if (!holder) {
        return slice;
    }
    recount(planning, same, holder.server);
    return {
        ...slice,
        generation: slice.generation + 1,
        owner: holder,
        home: planning.servers[holder.server]!.dataCentre,
    };
}

/** Slices of a data centre that is attested lost get the data centre of the host that coordinates it as their home. */
function getHome(planning: PlanningContext, slice: Slice): DataCentreId {
    return planning.homes.length > 1 ? planning.state.self.dataCentre : slice.home;
}

function planMove(planning: PlanningContext, service: ServiceId, slice: Slice, owner: Holder): Slice {
    const target = getTarget(planning, service, slice, owner);
    const room = planning.moves.get(service) ?? 0;
    const holder = target && getHolder(planning, target);
    if (!holder || target === owner.server || room <= 0 || !isEligible(planning, target)) {
        return slice;
    }
    planning.moves.set(service, room - 1);
    recount(planning, owner.server, holder.server);
    const generation = slice.generation + 1;
    return {
        ...slice,
        generation,
        owner: holder,
        home: planning.servers[holder.server]!.dataCentre,
        former: [{ ...owner, slice: slice.slice, fence: generation }],
    };
}

function getTarget(
    planning: PlanningContext,
    service: ServiceId,
    slice: Slice,
    owner: Holder,
): ServerId | undefined {
    const pinned = getPinned(planning, service, slice);
    if (pinned && isEligible(planning, pinned)) {
        return pinned;
    }
    if (isLeaving(planning, owner.server)) {
        return chooseServer(planning, service, slice.home, owner.server);
    }
    const requested = planning.state.coordinator.requestedChanges.find(change =>
        change.kind === "move" && change.service === service && change.slice === slice.slice
    );
    return requested?.kind === "move" ? requested.to : undefined;
}

function getPinned(planning: PlanningContext, service: ServiceId, slice: Slice): ServerId | undefined {
    if (slice.key === undefined) {
        return undefined;
    }
    const declared = planning.declaration.services.find(other => other.name === service);
    return declared?.routes.find(route => route.key === slice.key)?.server as ServerId | undefined;
}

function getHolder(planning: PlanningContext, server: ServerId): Holder | undefined {
    const row = planning.servers[server];
    return row && { server, incarnation: row.incarnation, epoch: row.epoch };
}

function recount(planning: PlanningContext, from: ServerId | undefined, to: ServerId): void {
    if (from !== undefined) {
        planning.counts.set(from, (planning.counts.get(from) ?? 0) - 1);
    }
    planning.counts.set(to, (planning.counts.get(to) ?? 0) + 1);
}
