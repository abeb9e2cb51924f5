import type { Milliseconds } from "@arbutusdoor/common";
import type { RowsReadOutcome } from "./rowsReadOutcome.js";

/** Reads one table of the platform's store. Calls never reject. */
export abstract class RowSource<Value> {
    /** Reads all rows as of one version of the store. */
    abstract read(): Promise<RowsReadOutcome<Value>>;

    /** Reads the changes after a version: returns as soon as there is one, or with none after `wait`. */
    abstract watch(after: number, wait: Milliseconds, signal: AbortSignal): Promise<RowsReadOutcome<Value>>;
}
