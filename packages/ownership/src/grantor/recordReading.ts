import type { Order, OrderReply } from "@arbutusdoor/clients";
import type { Milliseconds } from "@arbutusdoor/common";
import type { Grant } from "../state/grant.js";
import type { HostState } from "../state/hostState.js";

const KEPT_READINGS = 4;
const PARTS_PER_MILLION = 1_000_000;

/**
 * Records the clock reading of a reply, and what the reply says about the lease. The latest lease end counts from the arrival of the newest
 * reading, whether or not it was used in a renewal: it then also covers what hosts that have left the grantor list renewed before the
 * server acknowledged the list. The earliest lease end counts from the time at which the reading was requested.
 */
export function recordReading(
    state: HostState,
    grant: Grant,
    order: Order,
    reply: OrderReply,
    askedAt: Milliseconds,
    now: Milliseconds,
): Grant {
    const { leaseMs, clockDriftPpm } = state.settings;
    const drift = (leaseMs * clockDriftPpm) / PARTS_PER_MILLION;
    const freshUntil = Math.max(grant.earliestLeaseEnd, getFreshUntil(grant, order, reply, leaseMs, drift));
    const newest = grant.readings[0];
    if (newest && newest.clock >= reply.clock) {
        return { ...grant, earliestLeaseEnd: freshUntil };
    }
    const reading = { clock: reply.clock, askedAt, receivedAt: now };
    return {
        ...grant,
        earliestLeaseEnd: freshUntil,
        readings: [reading, ...grant.readings].slice(0, KEPT_READINGS),
        latestLeaseEnd: Math.max(grant.latestLeaseEnd, now + leaseMs + drift),
        nextOrderAt: newest ? grant.nextOrderAt : now,
    };
}

function getFreshUntil(
    grant: Grant,
    order: Order,
    reply: OrderReply,
    leaseMs: Milliseconds,
    drift: Milliseconds,
): Milliseconds {
    const isRenewal = reply.isAccepted && order.epoch === grant.epoch && order.leaseUntil !== undefined;
    const used = grant.readings.find(reading => reading.clock + leaseMs === order.leaseUntil);
    return isRenewal && used ? used.askedAt + leaseMs - drift : 0;
}
