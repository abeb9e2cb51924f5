import type { ServiceId } from "@arbutusdoor/common";
import type { Route } from "./route.js";

const MAX_ROUTES = 4_096;

/** Distributes each route's requests among its targets by weight, evenly at any time (smooth weighted round robin). */
export class TargetRotation {
    private readonly credits = new Map<string, Map<ServiceId, number>>();

    /** Returns the service for the route's next request. */
    next(route: Route): ServiceId | undefined {
        if (route.targets.length < 2) {
            return route.targets[0]?.service;
        }
        const credits = this.getCredits(route);
        let total = 0;
        let best: ServiceId | undefined;
        for (const { service, weight } of route.targets) {
            total += weight;
            credits.set(service, (credits.get(service) ?? 0) + weight);
            if (best === undefined || credits.get(service)! > credits.get(best)!) {
                best = service;
            }
        }
        if (best !== undefined) {
            credits.set(best, credits.get(best)! - total);
        }
        return best;
    }

    private getCredits(route: Route): Map<ServiceId, number> {
        let credits = this.credits.get(route.name);
        if (!credits) {
            credits = new Map();
            this.credits.set(route.name, credits);
            if (this.credits.size > MAX_ROUTES) {
                const [oldest] = this.credits.keys();
                this.credits.delete(oldest as string);
            }
        }
        return credits;
    }
}
