import type { Declaration } from "../declaration/declaration.js";
import type { DrainChange } from "./drainChange.js";

/** Returns the declaration with one server marked as draining; the result still has to be checked and submitted. */
export function drainServer(declaration: Declaration, serverName: string): DrainChange {
    const server = declaration.servers.find(({ name }) => name === serverName);
    if (!server) {
        return { kind: "unknownServer" };
    }
    if (server.isDraining) {
        return { kind: "alreadyDraining" };
    }
    const servers = declaration.servers.map(other =>
        other === server ? { ...other, isDraining: true } : other
    );
    return { kind: "changed", declaration: { ...declaration, servers } };
}
