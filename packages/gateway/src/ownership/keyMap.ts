import type { Milliseconds } from "@arbutusdoor/common";
import type { OwnedRange } from "./ownedRange.js";

/** Ownership of all keys of one service, as committed in the store. */
export type KeyMap = {
    /** Term of the coordinator that wrote it. */
    readonly term: number;
    /** Highest fencing token ever used. */
    readonly fence: number;
    /** Sorted by key, without gaps; empty before the initial assignment. */
    readonly ranges: readonly OwnedRange[];
    /**
     * Store time until which coordinators that this map does not know may renew grants of an earlier era of the store, also to servers that it
     * does not list; `undefined` when there are no such grants any more.
     */
    readonly unknownUntil?: Milliseconds;
};
