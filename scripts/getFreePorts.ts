import { createServer, type Server } from "node:net";
import type { AddressInfo } from "node:net";

/** Ports of the loopback address that were free a moment ago. */
export async function getFreePorts(count: number): Promise<number[]> {
    const servers: Server[] = [];
    for (let index = 0; index < count; index++) {
        const server = createServer();
        await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
        servers.push(server);
    }
    const ports = servers.map(server => (server.address() as AddressInfo).port);
    await Promise.all(servers.map(server => new Promise(resolve => server.close(resolve))));
    return ports;
}
