import type { Milliseconds } from "@arbutusdoor/common";

/** Part of one host in what a cold server may get. */
export type ColdShare = {
    /** Probability with which a host may send to a given cold server at all. */
    readonly probability: number;
    /** Least time between two requests of one host to the server. */
    readonly spacingMs: Milliseconds;
};
