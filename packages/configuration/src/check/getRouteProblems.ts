import type { Server } from "../declaration/server.js";
import type { Service } from "../declaration/service.js";
import { getDuplicateProblems } from "./getDuplicateProblems.js";
import type { Problem } from "./problem.js";

/** Returns the problems of routes: in a pooled service, for a key that has one already, or to a server that cannot own it. */
export function getRouteProblems(service: Service, path: string, servers: readonly Server[]): Problem[] {
    const routesPath = `${path}.routes`;
    if (service.kind === "pooled" && service.routes.length > 0) {
        return [{ path: routesPath, message: "a pooled service has no keys to route" }];
    }
    const byName = new Map(servers.map(server => [server.name, server]));
    const problems = getDuplicateProblems(routesPath, "key", service.routes.map(route => route.key));
    for (const [index, route] of service.routes.entries()) {
        const message = getTargetMessage(service, route.server, byName.get(route.server));
        if (message) {
            problems.push({ path: `${routesPath}[${index}].server`, message });
        }
    }
    return problems;
}

function getTargetMessage(service: Service, name: string, server: Server | undefined): string | undefined {
    if (!server) {
        return `"${name}" is not a server of service "${service.name}"`;
    }
    if (server.isDraining) {
        return `server "${name}" is draining and cannot own a routed key`;
    }
    return undefined;
}
