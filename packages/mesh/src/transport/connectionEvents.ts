/** What a connection reports to whoever uses it. */
export type ConnectionEvents = {
    readonly onFrame: (bytes: Uint8Array) => void;
    /** The connection is gone; called once, also after `close` and `terminate`. */
    readonly onClose: (cause: "ended" | "malformed") => void;
    /** Bytes that waited were handed to the operating system. */
    readonly onDrain: () => void;
};
