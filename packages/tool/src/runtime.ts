import type { Clock, OperationId } from "@arbutusdoor/common";
import type { Terminal } from "./terminal/terminal.js";

/** What the tool takes from the process that it runs in. */
export type Runtime = {
    readonly environment: Readonly<Record<string, string | undefined>>;
    readonly terminal: Terminal;
    readonly clock: Clock;
    /** Gives a new id for each operation. */
    readonly createOperationId: () => OperationId;
};
