import type { ServiceId } from "@arbutusdoor/common";
import type { HostState } from "../state/hostState.js";
import type { Explanation } from "./explanation.js";
import { getRoute } from "./getRoute.js";
import { getSliceOf } from "./getSliceOf.js";

/** Explains to an operator why a key is where it is, and what a move of it waits for. */
export function explain(state: HostState, service: ServiceId, key: string): Explanation {
    const slice = getSliceOf(state, service, key);
    const server = slice?.owner && state.servers[slice.owner.server]?.value;
    const waits = (slice?.former ?? []).map(former =>
        `${former.server} (${former.incarnation}) has yet to stop ${former.slice} below generation ${former.fence}`
    );
    if (slice?.owner && server && server.epoch !== slice.owner.epoch) {
        waits.push(
            `${server.server} was lost in epoch ${slice.owner.epoch}; no other server is free to take the key`,
        );
    }
    return { slice, server, route: getRoute(state, service, key), waits };
}
