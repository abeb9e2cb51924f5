import type { RowKey } from "@arbutusdoor/common";

/** One conditional write of a transaction. */
export type RowWrite = {
    readonly key: RowKey;
    /** Version that the row must have; 0 requires that it is absent. */
    readonly expectedVersion: number;
    /** New JSON value, or `undefined` to delete the row. */
    readonly value: unknown;
};
