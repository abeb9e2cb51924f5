import type { Milliseconds } from "@arbutusdoor/common";

/** Length of a server's queue for each slot. Servers do not state it; those in use have 16 for 4 slots and 24 for 6. */
const QUEUE_PER_SLOT = 4;

/** What a server reported when it shed a request. */
type ReportedQueue = { readonly waiting: number; readonly slots: number; readonly slowness: number; };

/**
 * Returns how long a server that has shed a request needs to work off its queue. A server that sheds while it reports an empty queue is
 * not believed.
 */
export function getQueueDrain(workMs: Milliseconds, reported: ReportedQueue | undefined): Milliseconds {
    return reported && reported.waiting > 0
        ? reported.waiting / reported.slots * workMs * Math.max(1, reported.slowness)
        : QUEUE_PER_SLOT * workMs;
}
