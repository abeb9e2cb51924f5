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
};
