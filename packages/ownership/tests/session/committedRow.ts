import type { OperationId } from "@arbutusdoor/common";
import type { Row } from "@arbutusdoor/platform";

/** A committed row as the observer gets it. */
export type CommittedRow = { readonly time: number; readonly row: Row; readonly operationId: OperationId; };
