import type { ServiceId } from "@arbutusdoor/common";
import type { Route } from "./route.js";
import type { RoutedConfiguration } from "./routedConfiguration.js";
import type { RoutedService } from "./routedService.js";

/** Index of a configuration: finds the route of a request by host name and longest path prefix. */
export class RouteTable {
    readonly configuration: RoutedConfiguration;
    private readonly routes = new Map<string, Map<string, Route>>();
    private readonly services: ReadonlyMap<ServiceId, RoutedService>;

    constructor(configuration: RoutedConfiguration) {
        this.configuration = configuration;
        this.services = new Map(configuration.services.map(service => [service.id, service]));
        for (const route of configuration.routes) {
            const byPrefix = this.routes.get(route.authority) ?? new Map<string, Route>();
            byPrefix.set(route.pathPrefix, route);
            this.routes.set(route.authority, byPrefix);
        }
    }

    /** Returns the route of a request, or `undefined` when none matches. */
    match(authority: string, path: string): Route | undefined {
        const byPrefix = this.routes.get(getHostName(authority));
        if (!byPrefix) {
            return undefined;
        }
        for (
            let end = path.lastIndexOf("/");
            end >= 0;
            end = end === 0 ? -1 : path.lastIndexOf("/", end - 1)
        ) {
            const route = byPrefix.get(path.slice(0, end + 1));
            if (route) {
                return route;
            }
        }
        return undefined;
    }

    /** Returns a service, or `undefined` when the configuration does not contain it. */
    getService(id: ServiceId): RoutedService | undefined {
        return this.services.get(id);
    }
}

function getHostName(authority: string): string {
    const colon = authority.lastIndexOf(":");
    return (colon > 0 ? authority.slice(0, colon) : authority).toLowerCase();
}
