import type { Connection } from "../../src/transport/connection.js";
import { Transport } from "../../src/transport/transport.js";
import type { MemoryNetwork } from "./memoryNetwork.js";

/** One host's access to a memory network. */
export class MemoryTransport extends Transport {
    private readonly network: MemoryNetwork;
    private readonly host: string;
    private address: string | undefined;

    constructor(network: MemoryNetwork, host: string) {
        super();
        this.network = network;
        this.host = host;
    }

    override async listen(
        host: string,
        port: number,
        _limit: number,
        onConnection: (connection: Connection) => void,
    ): Promise<string> {
        this.address = `${host}:${port}`;
        this.network.listeners.set(this.address, onConnection);
        return this.address;
    }

    override dial(address: string): Promise<Connection | undefined> {
        return this.network.dial(this.host, address);
    }

    override async close(): Promise<void> {
        this.network.listeners.delete(this.address ?? "");
    }
}
