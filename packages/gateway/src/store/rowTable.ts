import type { Milliseconds } from "@arbutusdoor/common";
import { RowSource } from "./rowSource.js";
import type { RowsReadOutcome } from "./rowsReadOutcome.js";
import type { RowWriteOutcome } from "./rowWriteOutcome.js";
import type { WatchedRow } from "./watchedRow.js";

/** A table of the platform's store that this system writes. Calls never reject. */
export abstract class RowTable<Value> extends RowSource<Value> {
    /** Reads one row; an absent row has version 0. */
    abstract readRow(key: string): Promise<
        | {
            readonly kind: "row";
            readonly row: WatchedRow<Value>;
            readonly storeTime: Milliseconds;
            /** Era of the store; absent when it states none. */
            readonly era?: number;
        }
        | Extract<RowsReadOutcome<Value>, { kind: "unavailable"; }>
    >;

    /** Writes a row if it has the expected version; 0 means that it must be absent. */
    abstract write(key: string, expectedVersion: number, value: Value): Promise<RowWriteOutcome>;
}
