/** What a connection reports to whoever uses it. */
type ConnectionEvents = {
    readonly onFrame: (bytes: Uint8Array) => void;
    /** The connection is gone; called once, also after `close` and `terminate`. */
    readonly onClose: () => void;
    /** Bytes that waited were handed to the operating system. */
    readonly onDrain: () => void;
};

/** An ordered connection that carries frames of bytes. */
export abstract class Connection {
    /** Bytes that wait in this process. */
    abstract get bufferedBytes(): number;

    /** Names who receives the events; events before that are kept. */
    abstract open(events: ConnectionEvents): void;

    /** Hands a frame to the socket. */
    abstract send(bytes: Uint8Array): void;

    /** Closes after what waits was sent. */
    abstract close(): void;

    /** Closes at once; what waits is dropped. */
    abstract terminate(): void;
}
