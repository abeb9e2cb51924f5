import type { OwnedRange } from "./ownedRange.js";

/** Ownership of all keys of one service, as committed in the store. */
export type KeyMap = {
    /** Term of the coordinator that wrote it. */
    readonly term: number;
    /** Highest fence ever used. */
    readonly fence: number;
    /** In order of their keys, without gaps; empty before the keys are laid out. */
    readonly ranges: readonly OwnedRange[];
};
