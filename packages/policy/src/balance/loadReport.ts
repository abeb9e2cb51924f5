import type { SliceId } from "@arbutusdoor/common";
import type { KeyLoad } from "./keyLoad.js";

/** Load of slices and of the heaviest keys, in slots kept busy on average. */
export type LoadReport = {
    readonly slices: readonly { readonly slice: SliceId; readonly load: number; }[];
    /** In descending order of load. */
    readonly topKeys: readonly KeyLoad[];
};
