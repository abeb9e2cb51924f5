/** Events of a connection. */
export type ConnectionEvents = {
    readonly onFrame: (bytes: Uint8Array) => void;
    /** The connection is closed; called once, also after `close` and `terminate`. */
    readonly onClose: (cause: "ended" | "malformed") => void;
    /** Buffered bytes were written to the operating system. */
    readonly onDrain: () => void;
};
