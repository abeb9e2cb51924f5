import type { ServerId, SliceId } from "@arbutusdoor/common";

/** A slice and where it is. */
export type PlacedSlice = {
    readonly slice: SliceId;
    readonly server: ServerId;
    /** Tied to its server by an operator's route, or already on its way; leaves only a server that is leaving. */
    readonly isPinned?: boolean;
    /** Holds a single key, so it can't be split further. */
    readonly isSingleKey?: boolean;
    /** Share of the service's keys, from 0 to 1; the same for all slices when absent. */
    readonly keyShare?: number;
};
