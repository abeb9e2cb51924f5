import type { Milliseconds } from "@arbutusdoor/common";
import type { WatchedRow } from "./watchedRow.js";

/**
 * Result of reading a table: its rows, or the changes since a version, as of `asOf`;
 * `historyLost` when these changes are no longer available; `unavailable` when there was no answer.
 */
export type RowsReadOutcome<Value> =
    | {
        readonly kind: "rows";
        readonly rows: readonly WatchedRow<Value>[];
        /** Version of the store at the read. */
        readonly asOf: number;
        /** Time of the store's monotonic clock at the read: the rows contain all changes up to then. */
        readonly storeTime: Milliseconds;
        /** Era of the store; absent when it states none. */
        readonly era?: number;
    }
    | { readonly kind: "historyLost"; readonly era?: number; }
    | { readonly kind: "unavailable"; readonly reason: string; };
