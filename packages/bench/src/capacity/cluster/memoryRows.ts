import type { Row, TableOutcome, TableTransaction } from "@arbutusdoor/clients";
import type { RowKey } from "@arbutusdoor/common";

/** Rows of the table service, in memory, with compare-and-set on their versions. */
export class MemoryRows {
    private readonly rows = new Map<RowKey, Row>();

    constructor(rows: readonly Row[]) {
        rows.forEach(row => this.rows.set(row.key, row));
    }

    /** Rows of those keys; an absent one has version 0. */
    read(keys: readonly RowKey[]): readonly Row[] {
        return keys.map(key => this.rows.get(key) ?? { key, version: 0, value: undefined });
    }

    /** Present rows whose key begins with the prefix. */
    scan(prefix: string): readonly Row[] {
        return [...this.rows.values()].filter(row => row.key.startsWith(prefix));
    }

    /** Writes all rows, or none. */
    transact({ writes }: TableTransaction): TableOutcome {
        const present = this.read(writes.map(write => write.key));
        if (writes.some((write, index) => write.expectedVersion !== present[index]!.version)) {
            return { kind: "conflict", rows: present };
        }
        const written = writes.map(({ key, expectedVersion, value }) => ({
            key,
            version: expectedVersion + 1,
            value,
        }));
        written.forEach(row => this.rows.set(row.key, row));
        return { kind: "committed", rows: written };
    }
}
