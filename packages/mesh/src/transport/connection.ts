import type { ConnectionEvents } from "./connectionEvents.js";

/** A connection between two hosts that carries frames of bytes in order. */
export abstract class Connection {
    /** Bytes that wait in this process. */
    abstract get bufferedBytes(): number;

    /** Names who receives the events from now on; events before the first call are kept. */
    abstract listen(events: ConnectionEvents): void;

    /** Hands a frame to the socket. */
    abstract send(bytes: Uint8Array): void;

    /** Closes after what waits was sent. */
    abstract close(): void;

    /** Closes at once; what waits is dropped. */
    abstract terminate(): void;
}
