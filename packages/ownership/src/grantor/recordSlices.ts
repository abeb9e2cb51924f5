import type { Order, OrderReply, SliceGeneration } from "@arbutusdoor/clients";
import type { Milliseconds } from "@arbutusdoor/common";
import { getSlicePath } from "../lookups/getSlicePath.js";
import type { Grant } from "../state/grant.js";

/** Records what a reply says about slices. A server that holds fewer than it reported has dropped all of them when its lease expired. */
export function recordSlices(grant: Grant, order: Order, reply: OrderReply, now: Milliseconds): Grant {
    if (order.epoch !== grant.epoch || order.incarnation !== grant.incarnation || !reply.isAccepted) {
        return grant;
    }
    const taken = merge(grant.taken, reply.taken);
    const fenced = merge(grant.fenced, reply.fenced);
    const remaining = omitFenced(taken, fenced);
    const hasLost = reply.heldCount < Object.keys(remaining).length;
    const hasMore = order.take.length > reply.taken.length ? false : order.take.length > 0;
    return {
        ...grant,
        taken: hasLost ? merge({}, reply.taken) : remaining,
        fenced,
        nextOrderAt: hasLost || hasMore ? now : grant.nextOrderAt,
    };
}

function merge(
    known: Readonly<Record<string, number>>,
    slices: readonly SliceGeneration[],
): Readonly<Record<string, number>> {
    if (slices.length === 0) {
        return known;
    }
    const merged = { ...known };
    for (const { service, slice, generation } of slices) {
        const path = getSlicePath(service, slice);
        merged[path] = Math.max(merged[path] ?? 0, generation);
    }
    return merged;
}

/** Slices whose generation is not fenced. */
function omitFenced(
    taken: Readonly<Record<string, number>>,
    fenced: Readonly<Record<string, number>>,
): Readonly<Record<string, number>> {
    const entries = Object.entries(taken).filter(([path, generation]) => generation >= (fenced[path] ?? 0));
    return entries.length === Object.keys(taken).length ? taken : Object.fromEntries(entries);
}
