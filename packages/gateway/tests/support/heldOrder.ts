import type { Milliseconds } from "@arbutusdoor/common";
import type { KeyOrder } from "../../src/ownership/keyOrder.js";
import type { SimulatedServer } from "./simulatedServer.js";

/** An order that was sent over an open connection during a partition. The sender's machine sends it again until its connection is reset. */
export type HeldOrder = {
    readonly order: KeyOrder;
    readonly holdMs: Milliseconds;
    /** The process that accepted the connection. */
    readonly server: SimulatedServer;
    /** Whether the sender gave it up and reset the connection. */
    isReset: boolean;
};
