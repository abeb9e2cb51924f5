import type { Milliseconds, ServerId } from "@arbutusdoor/common";

/** A server in the input of move planning. */
export type PlaceableServer = {
    readonly server: ServerId;
    readonly slots: number;
    /** `active` servers get slices, `leaving` ones are emptied, `silent` (unresponsive) ones neither get nor lose any. */
    readonly state: "active" | "leaving" | "silent";
    /** When it became available; its load limit grows slowly from then on. */
    readonly joinedAt?: Milliseconds;
};
