import type { RowKey } from "@arbutusdoor/common";

/** A row of the table service. */
export type Row = {
    readonly key: RowKey;
    /** Increases by one with each write; an absent row has version 0. */
    readonly version: number;
    /** JSON value; `undefined` when the row is absent. */
    readonly value: unknown;
};
