import type { ServerId, SliceId } from "@arbutusdoor/common";

/**
 * A planned change of the assignment: `move` moves a slice to another server, `split` gives a very hot key a slice of
 * its own on the same server.
 */
export type Move =
    | {
        readonly kind: "move";
        readonly slice: SliceId;
        readonly from: ServerId;
        readonly to: ServerId;
        readonly reason: "leaving" | "balance";
    }
    | { readonly kind: "split"; readonly slice: SliceId; readonly key: string; readonly server: ServerId; };
