import type { Milliseconds } from "@arbutusdoor/common";
import type { KeyRange } from "./keyRange.js";

/** Permission for a server to serve a range of keys for a limited time. */
export type KeyGrant = KeyRange & {
    /** Fencing token; a server refuses one lower than the highest that it has seen for a key. */
    readonly fence: number;
    /** Validity, counted from the order's arrival. */
    readonly holdMs: Milliseconds;
    /** The order is given up this long after the call, and does not arrive later. */
    readonly timeoutMs: Milliseconds;
    /** Token of the last holder's release; with it the keys have no slow start. */
    readonly handover?: string;
};
