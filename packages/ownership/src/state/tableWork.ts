import type { TableTransaction } from "@arbutusdoor/clients";
import type { Milliseconds, OperationId, RowKey } from "@arbutusdoor/common";

/** Calls to the table service under way, and what is left over from calls without an answer. */
export type TableWork = {
    /** Transactions under way; a row is in one at most. */
    readonly transactions: Readonly<
        Record<OperationId, { readonly transaction: TableTransaction; readonly sentAt: Milliseconds; }>
    >;
    /** Rows that a transaction with an unknown outcome named; they are read back before they are written again. */
    readonly uncertain: readonly RowKey[];
    /** Reads under way, by tag. */
    readonly reads: Readonly<
        Record<
            string,
            {
                readonly sentAt: Milliseconds;
                /** Count of the host's decisions when the read began. */
                readonly count: number;
                readonly keys?: readonly RowKey[];
                readonly prefix?: string;
            }
        >
    >;
    /** Count of the host's decisions when the newest completed scan of each prefix began. */
    readonly scanned: Readonly<Record<string, number>>;
    readonly nextScanAt: Milliseconds;
    readonly failures: number;
    /** No call before this time. */
    readonly backoffUntil: Milliseconds;
};
