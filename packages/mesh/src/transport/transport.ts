import type { Connection } from "./connection.js";

/** Opens and accepts connections between entry hosts. */
export abstract class Transport {
    /** Accepts connections at an address. Resolves to the bound address, or rejects when it cannot be bound. */
    abstract listen(
        host: string,
        port: number,
        frameLimitBytes: number,
        onConnection: (connection: Connection) => void,
    ): Promise<string>;

    /** Connects to an address. Resolves to `undefined` on failure. */
    abstract dial(address: string, frameLimitBytes: number): Promise<Connection | undefined>;

    /** Stops accepting connections; open ones stay. */
    abstract close(): Promise<void>;
}
