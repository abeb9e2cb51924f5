import type { ServiceId } from "@arbutusdoor/common";

/** A service that gets a share of a route's requests. */
export type RouteTarget = {
    readonly service: ServiceId;
    /** Weight relative to the other targets. */
    readonly weight: number;
};
