import type { Clock, OperationId } from "@arbutusdoor/common";
import type { Terminal } from "./terminal/terminal.js";

/** What the tool uses of the process that runs it; tests replace it. */
export type Runtime = {
    readonly environment: Readonly<Record<string, string | undefined>>;
    readonly terminal: Terminal;
    readonly clock: Clock;
    /** Creates a new id for each operation. */
    readonly createOperationId: () => OperationId;
};
