import type { Row } from "@arbutusdoor/clients";
import type { OperationId } from "@arbutusdoor/common";

/** A committed row as the observer gets it. */
export type CommittedRow = { readonly time: number; readonly row: Row; readonly operationId: OperationId; };
