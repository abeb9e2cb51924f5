import type { OperationId } from "@arbutusdoor/common";
import type { RowWrite } from "./rowWrite.js";

/** Conditional writes that take effect together or not at all. */
export type TableTransaction = {
    /** Names this write. The writer stores it in the rows it writes, to find out by reading whether a lost write took effect. */
    readonly operationId: OperationId;
    readonly writes: readonly RowWrite[];
};
