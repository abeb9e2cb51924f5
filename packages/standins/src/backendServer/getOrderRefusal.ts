import type { Grantor, Order } from "@arbutusdoor/clients";
import type { ServerId, ServerIncarnation } from "@arbutusdoor/common";
import type { ServerState } from "./serverState.js";

const MAX_FENCES = 1_000_000;

/** Why a checking server refuses an order, or `undefined` when it takes it. A probe is not judged here. */
export function getOrderRefusal(
    state: ServerState,
    order: Order,
    self: { readonly server: ServerId; readonly incarnation: ServerIncarnation; },
): string | undefined {
    if (order.server !== self.server) {
        return "the order is for another server";
    }
    if (order.incarnation !== self.incarnation) {
        return "the order is for another run of this server";
    }
    if (order.listVersion < state.listVersion) {
        return "the grantor list of the order is replaced";
    }
    const isNewer = !state.grantors || order.listVersion > state.listVersion;
    if (isNewer && !order.grantors) {
        return "the grantor list of the order is not known";
    }
    const grantors = isNewer ? order.grantors : state.grantors;
    if (!grantors?.some(grantor => isSame(grantor, order.from))) {
        return "the sender is not a grantor";
    }
    if (order.epoch < state.epoch) {
        return "the epoch of the order is replaced";
    }
    const fenceCount = state.fences.size + order.fence.length;
    return fenceCount > MAX_FENCES ? "too many slices are fenced" : undefined;
}

function isSame(one: Grantor, other: Grantor): boolean {
    return one.host === other.host && one.incarnation === other.incarnation;
}
