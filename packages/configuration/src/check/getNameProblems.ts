import type { Declaration } from "../declaration/declaration.js";
import { getRepeatProblems } from "./getRepeatProblems.js";
import type { Problem } from "./problem.js";

/** Names and addresses that are declared twice. */
export function getNameProblems(declaration: Declaration): Problem[] {
    const { dataCentres, services, servers } = declaration;
    return [
        ...getRepeatProblems("dataCentres", "data centre", dataCentres),
        ...getRepeatProblems("services", "service", services.map(service => service.name)),
        ...getRepeatProblems("servers", "server", servers.map(server => server.name)),
        ...getRepeatProblems("servers", "address", servers.map(server => server.address.toLowerCase())),
    ];
}
