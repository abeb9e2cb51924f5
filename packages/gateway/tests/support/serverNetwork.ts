import type { Milliseconds } from "@arbutusdoor/common";
import type { RegisteredServer } from "../../src/discovery/registeredServer.js";
import type { OrderOutcome } from "../../src/orders/orderOutcome.js";
import type { KeyOrder } from "../../src/ownership/keyOrder.js";
import type { SimulatedServer } from "./simulatedServer.js";

/** The simulated servers as hosts reach them. */
export type ServerNetwork = {
    /** Returns the process that listens at the address of an entry; `undefined` when none of this server does. */
    findListening(server: RegisteredServer): SimulatedServer | undefined;
    /** Carries out an order at the address of an entry. */
    apply(server: RegisteredServer, order: KeyOrder, holdMs: Milliseconds): OrderOutcome;
    /** Carries out an order that has reached a process. */
    applyAt(
        server: SimulatedServer,
        order: KeyOrder,
        holdMs: Milliseconds,
        arrivedAt: Milliseconds,
    ): OrderOutcome;
    /** Returns how long after its arrival an order without an answer is carried out; `undefined` when it is answered. */
    takeLateness(): Milliseconds | undefined;
    /** Ids of the servers to which connections are refused although they run. */
    readonly refusing: ReadonlySet<string>;
};
