import type { ServerId, ServiceId } from "@arbutusdoor/common";
import type { Slice } from "../rows/slice.js";
import type { HostState } from "../state/hostState.js";

/** Slices of a service that a server owns or may still run work of. */
export function getSlicesOfServer(state: HostState, service: ServiceId, server: ServerId): readonly Slice[] {
    return state.slices[service]?.byServer[server] ?? [];
}
