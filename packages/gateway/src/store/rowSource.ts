import type { Milliseconds } from "@arbutusdoor/common";
import type { RowsReadOutcome } from "./rowsReadOutcome.js";

/** Reads one table of the platform's store. Calls never reject. */
export abstract class RowSource<Value> {
    /** All rows of one moment. */
    abstract read(): Promise<RowsReadOutcome<Value>>;

    /** Changes after a version, as soon as there is one, or none once `wait` has passed. */
    abstract watch(after: number, wait: Milliseconds, signal: AbortSignal): Promise<RowsReadOutcome<Value>>;
}
