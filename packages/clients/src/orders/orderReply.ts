import type { Milliseconds, ServerId, ServerIncarnation } from "@arbutusdoor/common";
import type { SliceGeneration } from "./sliceGeneration.js";

/** A server's reply to an order. */
export type OrderReply = {
    readonly server: ServerId;
    readonly incarnation: ServerIncarnation;
    /** Time of the server's own clock when it replied. */
    readonly clock: Milliseconds;
    /** Version of the grantor list that the server now uses; lower ones are refused. */
    readonly listVersion: number;
    readonly epoch: number;
    /** False when the server refused the order; `reason` states why. */
    readonly isAccepted: boolean;
    readonly reason?: string;
    /** Slices named in the order's `take` that the server now holds. */
    readonly taken: readonly SliceGeneration[];
    /** Slices named in the order's `fence` for which no work runs any more and none will start below the fencing token. */
    readonly fenced: readonly SliceGeneration[];
    /** Number of slices that the server holds. */
    readonly heldCount: number;
    /** True when the server is about to stop. */
    readonly isLeaving: boolean;
};
