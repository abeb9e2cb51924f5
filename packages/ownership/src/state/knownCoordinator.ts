import type { Milliseconds } from "@arbutusdoor/common";
import type { HostIdentity } from "./hostIdentity.js";

/** The host that announced itself as coordinator of a data centre. */
export type KnownCoordinator = {
    readonly identity: HostIdentity;
    readonly term: number;
    readonly receivedAt: Milliseconds;
};
