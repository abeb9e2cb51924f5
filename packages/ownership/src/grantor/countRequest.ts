import type { ServerId, ServiceId, SliceId } from "@arbutusdoor/common";
import { getSlicePath } from "../lookups/getSlicePath.js";
import type { HostState } from "../state/hostState.js";

/** Adds a change to the number of requests in flight to a server. */
export function countRequest(
    state: HostState,
    server: ServerId,
    service: ServiceId,
    slice: SliceId,
    change: 1 | -1,
): HostState {
    const path = getSlicePath(service, slice);
    const { [path]: known = 0, ...others } = state.inFlight[server] ?? {};
    const count = Math.max(0, known + change);
    const counts = count === 0 ? others : { ...others, [path]: count };
    return { ...state, inFlight: { ...state.inFlight, [server]: counts } };
}
