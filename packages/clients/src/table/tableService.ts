import type { RowKey } from "@arbutusdoor/common";
import type { TableOutcome } from "./tableOutcome.js";
import type { TableRead } from "./tableRead.js";
import type { TableTransaction } from "./tableTransaction.js";

/** The platform's transactional table service. Calls never reject: every failure is an outcome. */
export abstract class TableService {
    /** Reads rows by key. An absent row is returned with version 0. */
    abstract read(keys: readonly RowKey[]): Promise<TableRead>;

    /** Reads all present rows whose key begins with `prefix`, in order of key. */
    abstract scan(prefix: string): Promise<TableRead>;

    /** Writes all rows of the transaction if every expected version matches. */
    abstract transact(transaction: TableTransaction): Promise<TableOutcome>;
}
