/** What a host read of the coordinator lease last: nothing yet; that there never was one; that it is free, its own, or held by another host. */
export type LeaseReading = "unread" | "none" | "free" | "own" | "held";
