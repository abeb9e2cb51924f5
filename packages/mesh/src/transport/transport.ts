import type { Connection } from "./connection.js";

/** Makes connections between entry hosts. */
export abstract class Transport {
    /** Takes connections at an address. Resolves to the bound address, or rejects when it cannot be bound. */
    abstract listen(
        host: string,
        port: number,
        frameLimitBytes: number,
        onConnection: (connection: Connection) => void,
    ): Promise<string>;

    /** Connects to an address. Resolves to `undefined` when that fails. */
    abstract dial(address: string, frameLimitBytes: number): Promise<Connection | undefined>;

    /** Takes no more connections. Open connections stay. */
    abstract close(): Promise<void>;
}
