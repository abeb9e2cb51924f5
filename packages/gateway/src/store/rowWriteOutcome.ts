import type { Milliseconds } from "@arbutusdoor/common";

/**
 * How a conditional write ended: `committed` with the row's new version; `conflict` (the row has another version; nothing was
 * written); `notRun` (the store did not receive or refused it); `unknown` (no answer: it may have taken effect, or may do so later).
 */
export type RowWriteOutcome =
    | {
        readonly kind: "committed";
        readonly version: number;
        readonly storeTime: Milliseconds;
        /** Era of the store; absent when it states none. */
        readonly era?: number;
    }
    | { readonly kind: "conflict"; readonly era?: number; }
    | { readonly kind: "notRun"; readonly reason: string; }
    | { readonly kind: "unknown"; readonly reason: string; };
