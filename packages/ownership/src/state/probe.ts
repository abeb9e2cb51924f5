import type { Milliseconds, ServerIncarnation } from "@arbutusdoor/common";

/** What the coordinator knows of a declared server that has no row yet. */
export type Probe = {
    readonly incarnation: ServerIncarnation | undefined;
    readonly sentAt: Milliseconds;
};
