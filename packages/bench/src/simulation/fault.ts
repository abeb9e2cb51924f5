import type { Milliseconds } from "@arbutusdoor/common";

/**
 * Something wrong with a server for a while: `freeze` (nothing happens and it goes on afterwards), `slow` (ten times
 * slower), `cold` (as slow as that at first and warming up evenly), `lying` (reports no load), `shed` (refuses
 * everything at once) or `restart` (loses what it has, can't be reached, and is cold for as long again).
 */
export type Fault = {
    readonly kind: "freeze" | "slow" | "cold" | "lying" | "shed" | "restart";
    readonly from: Milliseconds;
    readonly until: Milliseconds;
};
