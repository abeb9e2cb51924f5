import type { Milliseconds } from "@arbutusdoor/common";
import type { KeyRange } from "../orders/keyRange.js";
import type { KeyHolder } from "./keyHolder.js";

/** A range of keys with its owner and earlier owners. */
export type OwnedRange = KeyRange & {
    readonly owner: KeyHolder;
    /** Fencing token of all grants of the range to this owner; higher than that of every earlier owner. */
    readonly fence: number;
    /**
     * Earlier owners that may still hold keys of the range; the owner gets its grant when none is left but earlier incarnations of itself,
     * which have ended if it runs.
     */
    readonly previous: readonly KeyHolder[];
    /**
     * Store time after which no coordinator sends grants of the range to an earlier owner; `undefined` when one may, and in maps of earlier
     * versions.
     */
    readonly previousUntil?: Milliseconds | undefined;
};
