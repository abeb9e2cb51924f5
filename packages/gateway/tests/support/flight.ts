import type { Milliseconds } from "@arbutusdoor/common";
import type { OrderOutcome } from "../../src/orders/orderOutcome.js";
import type { KeyOrder } from "../../src/ownership/keyOrder.js";
import type { OrderScheduler } from "../../src/ownership/orderScheduler.js";
import type { ServerModel } from "./serverModel.js";

/** An order on its way. */
export type Flight = {
    readonly order: KeyOrder;
    readonly keeper: OrderScheduler;
    server: ServerModel;
    readonly sentAt: Milliseconds;
    arrivesAt: Milliseconds;
    appliesAt: Milliseconds;
    isArrived: boolean;
    isApplied: boolean;
    outcome: OrderOutcome | undefined;
    answersAt: Milliseconds;
};
