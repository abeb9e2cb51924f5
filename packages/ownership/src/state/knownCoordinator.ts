import type { Milliseconds } from "@arbutusdoor/common";
import type { HostIdentity } from "./hostIdentity.js";

/** The host that says it decides for a data centre. */
export type KnownCoordinator = {
    readonly identity: HostIdentity;
    readonly term: number;
    readonly receivedAt: Milliseconds;
};
