import type { HostId, Milliseconds } from "@arbutusdoor/common";
import type { Step } from "../kernel/step.js";
import { isRevoked } from "../lookups/isRevoked.js";
import type { OwnershipMessage } from "../messages/ownershipMessage.js";
import type { HostState } from "../state/hostState.js";
import { getOwnList } from "./getOwnList.js";

type RequestedServers = Extract<OwnershipMessage, { kind: "promisesWanted"; }>["servers"];

/** Requests support from the other grantors on the lists under which this host acts, with one message to each host. */
export function requestSupport(state: HostState, now: Milliseconds): Step {
    if (now < state.nextSupportRequestAt) {
        return { state, effects: [] };
    }
    const requests = new Map<HostId, RequestedServers>();
    for (const grant of Object.values(state.grants)) {
        const row = state.servers[grant.server]!;
        const list = getOwnList(row.value, state.self);
        const isNeeded = list.promises > 1 && !isRevoked(state, grant.server);
        const others = list.grantors.filter(grantor => grantor.host !== state.self.host);
        for (const { host } of isNeeded ? others : []) {
            requests.set(host, [...requests.get(host) ?? [], {
                server: grant.server,
                rowVersion: row.version,
            }]);
        }
    }
    return {
        state: { ...state, nextSupportRequestAt: now + state.settings.promiseIntervalMs },
        effects: [...requests].map(([to, servers]) => ({
            kind: "sendPeer",
            to,
            message: { kind: "promisesWanted", askedAt: now, servers },
        })),
    };
}
