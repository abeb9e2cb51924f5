import type { Milliseconds } from "@arbutusdoor/common";
import type { LastGrant } from "./lastGrant.js";
import type { StopProof } from "./stopProof.js";

/** How far the coordinator has come with one range since it took over; times are of its steady clock. */
export type RangeProgress = {
    /** Whether the owner has answered a grant of this fence. */
    isHeld: boolean;
    /** When a grant was last sent to the owner, answered or not; -Infinity when never. */
    grantSentAt: Milliseconds;
    /** When the owner last answered a grant. */
    answeredAt: Milliseconds;
    /** No order for the range is due before this. */
    dueAt: Milliseconds;
    /** Orders for the range that have no answer yet. */
    pendingOrders: number;
    /** Token of the last release, for the owner's first grant. */
    handover: string | undefined;
    /**
     * Grants that the owner and the earlier owners may still hold, by name. A holder is not listed once it has answered a release
     * under a later fence, which also makes it refuse late grants.
     */
    readonly lastGrants: Map<string, LastGrant>;
    /** Owners since the last grant that the map no longer lists, being cleared when the range was taken from them. */
    readonly removedOwners: StopProof[];
};
