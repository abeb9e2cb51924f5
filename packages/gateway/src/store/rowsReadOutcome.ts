import type { Milliseconds } from "@arbutusdoor/common";
import type { WatchedRow } from "./watchedRow.js";

/**
 * Result of reading a table: its rows, or the changes since a version, as of `asOf`;
 * `historyLost` when the changes since then are no longer kept; `unavailable` when there was no answer.
 */
export type RowsReadOutcome<Value> =
    | {
        readonly kind: "rows";
        readonly rows: readonly WatchedRow<Value>[];
        /** Version of the store at the moment of the read. */
        readonly asOf: number;
        /** The store's steady clock at that moment. */
        readonly storeTime: Milliseconds;
    }
    | { readonly kind: "historyLost"; }
    | { readonly kind: "unavailable"; readonly reason: string; };
