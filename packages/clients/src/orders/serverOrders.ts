import type { Milliseconds } from "@arbutusdoor/common";
import type { Order } from "./order.js";
import type { OrderOutcome } from "./orderOutcome.js";

/** Sends orders with fenced grants to backend servers. Calls never reject. */
export abstract class ServerOrders {
    /**
     * Sends an order to the server at `address` (IP address and port) and waits for its reply.
     * @param timeout longest wait; the outcome is then `silent`
     */
    abstract send(address: string, order: Order, timeout: Milliseconds): Promise<OrderOutcome>;
}
