import type { HeaderFields, Milliseconds, RequestId, ServiceId } from "@arbutusdoor/common";
import type { Route } from "../configuration/route.js";
import type { RoutedService } from "../configuration/routedService.js";
import type { GatewayBody } from "./gatewayBody.js";

/** A caller's request that can be routed to a backend server. */
export type GatewayRequest = {
    readonly id: RequestId;
    /** Version of the configuration by which it is routed. */
    readonly configurationVersion: number;
    readonly route: Route;
    readonly service: RoutedService & { readonly id: ServiceId; };
    /** Key of a keyed service's request; `undefined` when the caller sent none. */
    readonly key: number | undefined;
    readonly method: string;
    /** Path and query as the caller sent them. */
    readonly path: string;
    readonly headers: HeaderFields;
    readonly body: GatewayBody;
    readonly arrivedAt: Milliseconds;
    /** How long its caller waits for an answer, counted from its arrival; absent when the caller does not state this. */
    readonly callerTimeoutMs?: Milliseconds;
    /** When the caller stops waiting or the route's timeout ends the request, whichever comes first. */
    readonly deadlineAt: Milliseconds;
    /** Aborted when the caller disconnects. */
    readonly callerGone: AbortSignal;
};
