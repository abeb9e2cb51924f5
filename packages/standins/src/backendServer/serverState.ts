import type { Grantor } from "@arbutusdoor/clients";
import type { Milliseconds } from "@arbutusdoor/common";

/** What a backend server knows about its ownership. Slices are named `service/slice`. */
export type ServerState = {
    readonly listVersion: number;
    /** `undefined` until the first list has come. */
    readonly grantors: readonly Grantor[] | undefined;
    readonly epoch: number;
    /** End of the lease by the server's own clock. */
    readonly leaseUntil: Milliseconds;
    /** Generation of each slice held. */
    readonly held: ReadonlyMap<string, number>;
    /** Lowest generation of each fenced slice that may still run. */
    readonly fences: ReadonlyMap<string, number>;
};
