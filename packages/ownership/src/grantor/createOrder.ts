import type { Order } from "@arbutusdoor/clients";
import type { Milliseconds } from "@arbutusdoor/common";
import { isGrantReady } from "../lookups/isGrantReady.js";
import { isRevoked } from "../lookups/isRevoked.js";
import type { ServerRow } from "../rows/serverRow.js";
import type { Grant } from "../state/grant.js";
import type { HostState } from "../state/hostState.js";
import { getOwnList } from "./getOwnList.js";
import { getSlicesToFence } from "./getSlicesToFence.js";
import { getSlicesToTake } from "./getSlicesToTake.js";
import { hasRequiredSupport } from "./hasRequiredSupport.js";

/**
 * Creates the order that a grantor sends now. It renews the lease until the lease time after the server's own newest clock reading: an
 * order that is delayed for longer has expired when the server reads it. A grantor that has confirmed a revocation, has no clock reading or
 * lacks the required support only probes.
 */
export function createOrder(state: HostState, grant: Grant, row: ServerRow, now: Milliseconds): Order {
    const list = getOwnList(row, state.self);
    const { host, incarnation } = state.self;
    const base: Order = {
        server: row.server,
        from: { host, incarnation },
        listVersion: list.listVersion,
        epoch: row.epoch,
        take: [],
        fence: [],
    };
    const reading = grant.readings[0];
    if (!reading || isRevoked(state, row.server) || !hasRequiredSupport(state, grant, list, now)) {
        return base;
    }
    const isRetiring = row.change !== undefined && list !== row.change;
    const mayTake = isGrantReady(state, grant) && !isRetiring;
    return {
        ...base,
        incarnation: row.incarnation,
        ...(grant.listVersion < list.listVersion ? { grantors: list.grantors } : {}),
        leaseUntil: getLeaseUntil(state, reading.clock),
        take: mayTake ? getSlicesToTake(state, grant, row) : [],
        fence: getSlicesToFence(state, grant, row),
    };
}

function getLeaseUntil(state: HostState, reading: Milliseconds): Milliseconds {
    return reading + state.settings.leaseMs;
}
