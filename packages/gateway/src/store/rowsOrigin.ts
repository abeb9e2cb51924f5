import type { Milliseconds } from "@arbutusdoor/common";

/** Where the rows of a read come from, and what the read proves. Times are by the store's clock. */
export type RowsOrigin = {
    readonly source: "store" | "coordinator";
    /** The rows that changed were committed after this time; `undefined` when that is not known. */
    readonly changedAfter: Milliseconds | undefined;
    /** All changes up to this time are known; `undefined` when that is not known. */
    readonly completeAt: Milliseconds | undefined;
    /** Whether reads of the table failed before this one: entries may have expired because the store was unavailable. */
    readonly isAfterOutage: boolean;
    /** Era of the store in which the rows were read; absent in the first one and when the store states none. */
    readonly era?: number | undefined;
    /** Whether the rows are the first of an era: each may be older than what was known before. */
    readonly isRestored?: boolean;
};
