import { createServer } from "node:net";

/** Below the range from which the system draws the ports of outgoing connections, which could take one while its program is down. */
const FIRST_PORT = 15_000;
const PORT_COUNT = 15_000;
const PORTS_PER_PROCESS = 97;

let next = process.pid * PORTS_PER_PROCESS % PORT_COUNT;

/** Ports of the loopback address that were free a moment ago, each returned once. */
export async function getFreePorts(count: number): Promise<number[]> {
    const ports: number[] = [];
    for (let tries = 0; ports.length < count; tries++) {
        if (tries > PORT_COUNT) {
            throw new Error("no port of the loopback address is free");
        }
        const port = FIRST_PORT + next;
        next = (next + 1) % PORT_COUNT;
        if (await isFree(port)) {
            ports.push(port);
        }
    }
    return ports;
}

function isFree(port: number): Promise<boolean> {
    const server = createServer();
    return new Promise(resolve => {
        server.once("error", () => resolve(false));
        server.listen(port, "127.0.0.1", () => server.close(() => resolve(true)));
    });
}
