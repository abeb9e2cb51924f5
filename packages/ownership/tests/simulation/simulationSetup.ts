import type { Declaration } from "@arbutusdoor/configuration";
import { OwnershipSettings } from "@arbutusdoor/ownership";

/** What a simulation starts with: for each data centre the entry hosts and the servers of the one service "board". */
export type SimulationSetup = {
    readonly seed: number;
    readonly centres: Readonly<
        Record<string, { readonly hosts: readonly string[]; readonly servers: readonly string[]; }>
    >;
    readonly slices?: number;
    readonly checksOrders?: boolean;
    readonly objective?: Partial<Declaration["services"][number]["objective"]>;
    readonly settings?: Partial<OwnershipSettings>;
    readonly keys?: number;
    readonly work?: number;
};
