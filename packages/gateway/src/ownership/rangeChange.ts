import type { KeyRange } from "../orders/keyRange.js";
import type { KeyHolder } from "./keyHolder.js";

/** A new owner for a range, which lies within one range of the map. */
export type RangeChange = KeyRange & { readonly owner: KeyHolder; };
