import type { Milliseconds } from "@arbutusdoor/common";
import type { KeyOrder } from "./keyOrder.js";
import type { LastGrant } from "./lastGrant.js";
import type { StopProof } from "./stopProof.js";

/** Progress of the coordinator with one range since it took over; times are by its steady clock. */
export type RangeProgress = {
    /** Whether the owner has answered a grant under this fencing token. */
    isHeld: boolean;
    /** When a grant was last sent to the owner, answered or not; -Infinity when never. */
    grantSentAt: Milliseconds;
    /** When the owner last answered a grant. */
    answeredAt: Milliseconds;
    /** No order for the range is due before this. */
    dueAt: Milliseconds;
    /** Number of orders for the range that have no answer yet. */
    pendingOrders: number;
    /** Handover token of the last release, for the owner's first grant. */
    handover: string | undefined;
    /**
     * Grants that the owner and the earlier owners may still hold, by holder name. A holder is removed once it has answered a release under
     * a later fencing token, after which it also refuses late grants.
     */
    readonly lastGrants: Map<string, LastGrant>;
    /** The last order with a grant, and the owner's grant before it, which stands again if the order was not sent. */
    lastOrder: { readonly order: KeyOrder; readonly grantBefore: LastGrant | undefined; } | undefined;
    /** Stop proofs of owners since the last grant that the map no longer lists: they had stopped when the range was taken from them. */
    readonly removedOwners: StopProof[];
};
