import type { ServerId, SliceId } from "@arbutusdoor/common";

/** A slice and the server that it is on. */
export type PlacedSlice = {
    readonly slice: SliceId;
    readonly server: ServerId;
    /** Fixed by an operator's route or already being moved; it is moved only off a leaving server. */
    readonly isPinned?: boolean;
    /** Holds a single key, so it can't be split further. */
    readonly isSingleKey?: boolean;
    /** Share of the service's keys, from 0 to 1; the same for all slices when absent. */
    readonly keyShare?: number;
};
