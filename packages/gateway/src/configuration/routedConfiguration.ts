import type { CallerLimits } from "./callerLimits.js";
import type { Route } from "./route.js";
import type { RoutedService } from "./routedService.js";

/** The operator's whole configuration at one version. */
export type RoutedConfiguration = {
    /** Increases with each change, not always by one. */
    readonly version: number;
    readonly routes: readonly Route[];
    readonly services: readonly RoutedService[];
    readonly limits: CallerLimits;
};
