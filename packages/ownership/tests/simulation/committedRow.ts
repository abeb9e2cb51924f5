import type { Row } from "@arbutusdoor/clients";
import type { OperationId } from "@arbutusdoor/common";

/** A committed row of the table, with the time of its commit. */
export type CommittedRow = { readonly time: number; readonly row: Row; readonly operationId: OperationId; };
