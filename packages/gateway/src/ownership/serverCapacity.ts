import type { KeyHolder } from "./keyHolder.js";

/** A server that may own keys, and its capacity. */
export type ServerCapacity = {
    readonly holder: KeyHolder;
    /** Requests a second that it can process. */
    readonly capacity: number;
    /** Requests that it runs at a time. */
    readonly slots: number;
};
