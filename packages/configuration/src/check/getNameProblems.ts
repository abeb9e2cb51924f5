import type { Declaration } from "../declaration/declaration.js";
import { getDuplicateProblems } from "./getDuplicateProblems.js";
import type { Problem } from "./problem.js";

/** Returns a problem for each name or address that is declared twice. */
export function getNameProblems(declaration: Declaration): Problem[] {
    const { dataCentres, services, servers } = declaration;
    return [
        ...getDuplicateProblems("dataCentres", "data centre", dataCentres),
        ...getDuplicateProblems("services", "service", services.map(service => service.name)),
        ...getDuplicateProblems("servers", "server", servers.map(server => server.name)),
        ...getDuplicateProblems("servers", "address", servers.map(server => server.address.toLowerCase())),
    ];
}
