import type { ServerId } from "@arbutusdoor/common";
import type { PlaceableServer } from "./placeableServer.js";
import type { PlacedSlice } from "./placedSlice.js";

/** A server with its slices and its load in fair shares: 1 is the mean of the active servers, by slots. */
export type Placement = {
    readonly server: ServerId;
    readonly state: PlaceableServer["state"];
    /** Slots relative to the mean of the active servers. */
    readonly size: number;
    /** Load in fair shares up to which the server gets slices; less than its size while it warms up. */
    readonly loadLimit: number;
    load: number;
    slices: (PlacedSlice & { readonly load: number; })[];
};
