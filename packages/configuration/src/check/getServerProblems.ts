import { isIP } from "node:net";
import type { Declaration } from "../declaration/declaration.js";
import type { Server } from "../declaration/server.js";
import type { Problem } from "./problem.js";

const MAX_PORT = 65_535;

/** Returns the problems of servers: unknown data centres or services, invalid addresses, or fewer connections than slots. */
export function getServerProblems(declaration: Declaration): Problem[] {
    const dataCentres = new Set(declaration.dataCentres);
    const services = new Set(declaration.services.map(service => service.name));
    const problems: Problem[] = [];
    for (const [index, server] of declaration.servers.entries()) {
        const path = `servers[${index}]`;
        if (!dataCentres.has(server.dataCentre)) {
            const message = `data centre "${server.dataCentre}" is not declared`;
            problems.push({ path: `${path}.dataCentre`, message });
        }
        if (!services.has(server.service)) {
            problems.push({
                path: `${path}.service`,
                message: `service "${server.service}" is not declared`,
            });
        }
        if (!isAddress(server)) {
            problems.push({
                path: `${path}.address`,
                message: "must be an IP number and a port from 1 to 65535",
            });
        }
        if (server.connections < server.slots) {
            const message = `${server.connections} connections cannot carry ${server.slots} slots`;
            problems.push({ path: `${path}.connections`, message });
        }
    }
    return problems;
}

function isAddress({ address }: Server): boolean {
    const separator = address.lastIndexOf(":");
    const host = address.slice(0, separator).replace(/^\[(.*)\]$/, "$1");
    const port = Number(address.slice(separator + 1));
    return isIP(host) !== 0 && port >= 1 && port <= MAX_PORT;
}
