import type { ConnectionEvents } from "./connectionEvents.js";

/** A connection between two hosts that carries frames of bytes in order. */
export abstract class Connection {
    /** Bytes buffered in this process. */
    abstract get bufferedBytes(): number;

    /** Sets the receiver of events; events before the first call are buffered. */
    abstract listen(events: ConnectionEvents): void;

    /** Sends a frame. */
    abstract send(bytes: Uint8Array): void;

    /** Closes after the buffered bytes were sent. */
    abstract close(): void;

    /** Closes at once and drops buffered bytes. */
    abstract terminate(): void;
}
