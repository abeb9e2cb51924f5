import type { Declaration } from "../declaration/declaration.js";
import type { Server } from "../declaration/server.js";
import type { Service } from "../declaration/service.js";
import { getClassProblems } from "./getClassProblems.js";
import { getRouteProblems } from "./getRouteProblems.js";
import type { Problem } from "./problem.js";

/** Returns the problems of each service: no server for its keys, and problems of its routes, classes and objective. */
export function getServiceProblems(declaration: Declaration): Problem[] {
    const servers = getServersByService(declaration);
    return declaration.services.flatMap((service, index) => {
        const path = `services[${index}]`;
        const ownServers = servers.get(service.name) ?? [];
        return [
            ...getCoverageProblems(service, path, ownServers),
            ...getRouteProblems(service, path, ownServers),
            ...getClassProblems(service, path, ownServers),
            ...getObjectiveProblems(service, path),
        ];
    });
}

function getServersByService(declaration: Declaration): Map<string, Server[]> {
    const byService = new Map<string, Server[]>();
    for (const server of declaration.servers) {
        const others = byService.get(server.service) ?? [];
        others.push(server);
        byService.set(server.service, others);
    }
    return byService;
}

function getCoverageProblems(service: Service, path: string, servers: readonly Server[]): Problem[] {
    if (service.kind === "pooled" || servers.some(server => !server.isDraining)) {
        return [];
    }
    const message = servers.length === 0
        ? "a keyed service needs at least one server"
        : "a keyed service needs at least one server that is not draining";
    return [{ path, message }];
}

function getObjectiveProblems(service: Service, path: string): Problem[] {
    const { imbalance, churn, unavailability } = service.objective;
    if (imbalance + churn + unavailability > 0) {
        return [];
    }
    return [{ path: `${path}.objective`, message: "at least one weight must be above 0" }];
}
