import type { Milliseconds } from "@arbutusdoor/common";
import type { RegisteredServer } from "../../src/discovery/registeredServer.js";
import type { OrderOutcome } from "../../src/orders/orderOutcome.js";
import type { KeyOrder } from "../../src/ownership/keyOrder.js";
import type { OrderSender } from "./orderSender.js";
import type { SimulatedServer } from "./simulatedServer.js";

/** An order in flight. */
export type InFlightOrder = {
    readonly order: KeyOrder;
    readonly sender: OrderSender;
    /** The entry whose address the order was sent to, in runs with a registry. */
    readonly entry: RegisteredServer | undefined;
    server: SimulatedServer;
    readonly sentAt: Milliseconds;
    arrivesAt: Milliseconds;
    appliesAt: Milliseconds;
    isArrived: boolean;
    isApplied: boolean;
    outcome: OrderOutcome | undefined;
    answersAt: Milliseconds;
};
