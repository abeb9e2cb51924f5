import type { Milliseconds, SliceId } from "@arbutusdoor/common";

/** Past changes made for balance. */
export type MoveHistory = readonly { readonly slice: SliceId; readonly at: Milliseconds; }[];
