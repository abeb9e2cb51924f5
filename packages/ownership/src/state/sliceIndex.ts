import type { ServerId, SliceId } from "@arbutusdoor/common";
import type { Slice } from "../rows/slice.js";

/** Index of all known slices of a service. */
export type SliceIndex = {
    /** Ranges in order of their first position. */
    readonly ranges: readonly Slice[];
    /** Slices of a single key, by key. */
    readonly keys: Readonly<Record<string, Slice>>;
    readonly byName: Readonly<Record<SliceId, Slice>>;
    /** Slices that each server owns or may still hold, in the order of the rows. */
    readonly byHolder: Readonly<Record<ServerId, readonly Slice[]>>;
};
