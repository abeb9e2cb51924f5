import type { ServiceId } from "@arbutusdoor/common";
import type { Route } from "../../src/configuration/route.js";

/** Creates a route with default values where the test sets none. */
export function createRoute(parts: Partial<Route> = {}): Route {
    return {
        name: "route",
        authority: "board.example",
        pathPrefix: "/",
        isIdempotent: true,
        timeoutMs: 1_000,
        objectiveMs: 500,
        priority: 1,
        maxAttempts: 2,
        targets: [{ service: "board" as ServiceId, weight: 1 }],
        ...parts,
    };
}
