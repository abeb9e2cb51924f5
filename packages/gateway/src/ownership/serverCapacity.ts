import type { KeyHolder } from "./keyHolder.js";

/** A server that may own keys, and how much it carries compared to others. */
export type ServerCapacity = {
    readonly holder: KeyHolder;
    /** Requests a second that it works off. */
    readonly capacity: number;
};
