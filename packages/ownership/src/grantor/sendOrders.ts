import type { Milliseconds, ServerId } from "@arbutusdoor/common";
import { mayHoldSlices } from "../coordinator/mayHoldSlices.js";
import { sequence } from "../kernel/sequence.js";
import type { Step } from "../kernel/step.js";
import type { Grant } from "../state/grant.js";
import type { HostState } from "../state/hostState.js";
import { createOrder } from "./createOrder.js";

const FENCE_POLLS_PER_RENEWAL = 4;

/** Sends the orders that are due, one at a time to each server. */
export function sendOrders(state: HostState, now: Milliseconds): Step {
    const due = Object.values(state.grants).filter(grant => isDue(state, grant, now));
    return sequence(state, ...due.map(grant => (current: HostState) => sendOrder(current, grant, now)));
}

function isDue(state: HostState, grant: Grant, now: Milliseconds): boolean {
    const isUnderWay = grant.orderSentAt !== undefined
        && now - grant.orderSentAt < state.settings.orderTimeoutMs;
    return !isUnderWay && now >= grant.nextOrderAt && !isObsolete(state, grant.server);
}

/** Whether a server is no longer declared and holds nothing; it gets no orders then. */
function isObsolete(state: HostState, server: ServerId): boolean {
    const isDeclared = state.configuration?.declaration.servers.some(other => other.name === server) ?? true;
    return !isDeclared && !mayHoldSlices(state, state.servers[server]!.value);
}

function sendOrder(state: HostState, grant: Grant, now: Milliseconds): Step {
    const row = state.servers[grant.server]!.value;
    const order = createOrder(state, grant, row, now);
    const { renewIntervalMs, orderTimeoutMs } = state.settings;
    const isFencing = order.fence.length > 0;
    const interval = isFencing ? renewIntervalMs / FENCE_POLLS_PER_RENEWAL : renewIntervalMs;
    const sent: Grant = { ...grant, orderSentAt: now, nextOrderAt: now + interval };
    return {
        state: { ...state, grants: { ...state.grants, [grant.server]: sent } },
        effects: [{
            kind: "sendOrder",
            address: getAddress(state, grant.server),
            order,
            timeout: orderTimeoutMs,
        }],
    };
}

/** The declared address, or the one in its row for a server that is no longer declared. */
function getAddress(state: HostState, server: ServerId): string {
    const declared = state.configuration?.declaration.servers.find(other => other.name === server);
    return declared?.address ?? state.servers[server]!.value.address;
}
