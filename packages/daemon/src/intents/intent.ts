import type { RowKey } from "@arbutusdoor/common";
import type { IntentRequest } from "./intentRequest.js";
import type { IntentRow } from "./intentRow.js";

/** An intent whose request may be sent once. */
export type Intent = {
    readonly request: IntentRequest;
    readonly key: RowKey;
    /** The row in state `begun`, without the id of the write that stores it. */
    readonly begun: Omit<IntentRow, "operationId">;
    /** Version of the begun row; `undefined` when it is not known whether the row was written. */
    readonly version: number | undefined;
};
