import type { Milliseconds, ServerId, ServerIncarnation } from "@arbutusdoor/common";
import type { Grantor } from "./grantor.js";
import type { SliceGeneration } from "./sliceGeneration.js";

/**
 * What a grantor tells a server. One message carries the lease and all changes of slices.
 * A server that checks orders takes it only when `incarnation` is its own (or absent, which only asks for a reply),
 * `from` is in its grantor list and `listVersion` and `epoch` are not lower than those it knows.
 */
export type Order = {
    readonly server: ServerId;
    /** The run of the server that this order is for; absent in a probe, which changes nothing. */
    readonly incarnation?: ServerIncarnation;
    readonly from: Grantor;
    /** Version of the server's grantor list. */
    readonly listVersion: number;
    /** Present when the server shall take a new grantor list of version `listVersion`; it then refuses lower versions. */
    readonly grantors?: readonly Grantor[];
    /** Lease epoch. A higher one than the server knows makes it drop every slice that it holds. */
    readonly epoch: number;
    /** End of the lease by the server's own clock; absent when nothing is renewed. Never shortens a lease. */
    readonly leaseUntil?: Milliseconds;
    /** Slices to hold from now on; one with a generation at or below a known fence is refused. */
    readonly take: readonly SliceGeneration[];
    /** Slices to give up: no new work below this generation, and an acknowledgement once running work has ended. */
    readonly fence: readonly SliceGeneration[];
};
