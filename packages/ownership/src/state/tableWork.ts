import type { TableTransaction } from "@arbutusdoor/clients";
import type { Milliseconds, OperationId, RowKey } from "@arbutusdoor/common";

/** Calls to the table service in progress, and what remains to be done after calls without a result. */
export type TableWork = {
    /** Transactions in progress; a row is in one at most. */
    readonly transactions: Readonly<
        Record<OperationId, { readonly transaction: TableTransaction; readonly sentAt: Milliseconds; }>
    >;
    /** Rows of transactions with an unknown outcome; they are read back before they are written again. */
    readonly uncertain: readonly RowKey[];
    /** Reads in progress, by tag. */
    readonly reads: Readonly<
        Record<
            string,
            {
                readonly sentAt: Milliseconds;
                /** The host's counter when the read began. */
                readonly count: number;
                readonly keys?: readonly RowKey[];
                readonly prefix?: string;
            }
        >
    >;
    /** The host's counter when the newest completed scan of each prefix began. */
    readonly scanned: Readonly<Record<string, number>>;
    readonly nextScanAt: Milliseconds;
    readonly failures: number;
    /** Time before which no scan begins. */
    readonly backoffUntil: Milliseconds;
};
