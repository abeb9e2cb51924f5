import type { Milliseconds, ServerId, ServerIncarnation } from "@arbutusdoor/common";
import type { Grantor } from "./grantor.js";
import type { SliceGeneration } from "./sliceGeneration.js";

/**
 * Order of a grantor to a server. One message carries the lease and all changes of slices.
 * A server that checks orders accepts it only when `incarnation` is its own (or absent, which only requests a reply),
 * `from` is in its grantor list and `listVersion` and `epoch` are not lower than those it has recorded.
 */
export type Order = {
    readonly server: ServerId;
    /** The incarnation of the server that this order is for; absent in a probe, which changes nothing. */
    readonly incarnation?: ServerIncarnation;
    readonly from: Grantor;
    /** Version of the server's grantor list. */
    readonly listVersion: number;
    /** New grantor list with version `listVersion`, if it changes; the server then refuses lower versions. */
    readonly grantors?: readonly Grantor[];
    /** Lease epoch. A higher one than the server has recorded makes it drop every slice that it holds. */
    readonly epoch: number;
    /** End of the lease by the server's own clock; absent when the lease is not renewed. Never shortens a lease. */
    readonly leaseUntil?: Milliseconds;
    /** Slices to hold from now on; one with a fencing token at or below a recorded fence is refused. */
    readonly take: readonly SliceGeneration[];
    /** Slices to release: the server starts no work below this fencing token and acknowledges once running work has ended. */
    readonly fence: readonly SliceGeneration[];
};
