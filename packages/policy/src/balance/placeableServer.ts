import type { Milliseconds, ServerId } from "@arbutusdoor/common";

/** A server as the planning of moves sees it. */
export type PlaceableServer = {
    readonly server: ServerId;
    readonly slots: number;
    /** `active` takes slices, `leaving` is emptied, `silent` neither takes nor gives any. */
    readonly state: "active" | "leaving" | "silent";
    /** Time at which it came up; it is filled slowly from then on. */
    readonly joinedAt?: Milliseconds;
};
