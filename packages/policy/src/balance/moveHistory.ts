import type { Milliseconds, SliceId } from "@arbutusdoor/common";

/** Past changes that were made for balance. */
export type MoveHistory = readonly { readonly slice: SliceId; readonly at: Milliseconds; }[];
