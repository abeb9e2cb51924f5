import { randomInt } from "node:crypto";
import { createServer, type Server } from "node:net";

/** Below the range from which the system gives ports to listeners that name none, which could get one before its program listens. */
const FIRST_PORT = 10_240;
const END_PORT = 32_768;
const MAX_TRIES = 100;

/** Ports of the loopback address that were free a moment ago. Rejects when hardly any port is free. */
export async function getFreePorts(count: number): Promise<number[]> {
    const servers = new Map<number, Server>();
    for (let tries = 0; servers.size < count; tries++) {
        const port = randomInt(FIRST_PORT, END_PORT);
        const server = await listen(port);
        if (server) {
            servers.set(port, server);
        }
        else if (tries >= MAX_TRIES) {
            throw new Error(`no free port in ${tries} tries`);
        }
    }
    await Promise.all([...servers.values()].map(server => new Promise(resolve => server.close(resolve))));
    return [...servers.keys()];
}

/** Returns a server at the port, or `undefined` when the port is not free. */
function listen(port: number): Promise<Server | undefined> {
    return new Promise(resolve => {
        const server = createServer();
        server.once("error", () => resolve(undefined));
        server.listen(port, "127.0.0.1", () => resolve(server));
    });
}
