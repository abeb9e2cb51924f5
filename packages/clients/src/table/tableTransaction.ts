import type { OperationId } from "@arbutusdoor/common";
import type { RowWrite } from "./rowWrite.js";

/** Conditional writes that take effect together or not at all. */
export type TableTransaction = {
    /** Identifies this write. The writer stores it in the rows, so that reading them shows whether an unanswered write took effect. */
    readonly operationId: OperationId;
    readonly writes: readonly RowWrite[];
};
