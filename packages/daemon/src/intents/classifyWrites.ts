import type { Row } from "@arbutusdoor/clients";
import type { OperationId } from "@arbutusdoor/common";

/**
 * Classifies the conditional writes of a failed transaction by the current rows: `committed` (the row carries the id of the
 * write), `conflict` (the row has another version) or `open` (the row has the expected version; the write can be retried).
 * @param operationId id of the transaction, if it may have taken effect
 */
export function classifyWrites(
    writes: readonly { readonly expectedVersion: number; }[],
    rows: readonly Row[],
    operationId: OperationId | undefined,
): readonly ("committed" | "conflict" | "open")[] {
    return writes.map(({ expectedVersion }, index) => {
        const row = rows[index];
        if (operationId !== undefined && getWriter(row) === operationId) {
            return "committed";
        }
        return row?.version === expectedVersion ? "open" : "conflict";
    });
}

function getWriter(row: Row | undefined): unknown {
    return (row?.value as { operationId?: unknown; } | undefined)?.operationId;
}
