import type { Clock, Milliseconds } from "@arbutusdoor/common";
import type { RegisteredServer } from "../../src/discovery/registeredServer.js";
import type { KeyGrant } from "../../src/orders/keyGrant.js";
import { KeyOrders } from "../../src/orders/keyOrders.js";
import type { KeyRange } from "../../src/orders/keyRange.js";
import type { OrderOutcome } from "../../src/orders/orderOutcome.js";
import type { KeyOrder } from "../../src/ownership/keyOrder.js";

const TRAVEL_MS = 2;
const GRANT_TIMEOUT_MS = 800;
const RELEASE_TIMEOUT_MS = 3_000;

/** Orders of one host to simulated servers. A partition loses them. */
export class SimulatedOrders extends KeyOrders {
    /** Ids of the servers that this host cannot reach. */
    readonly unreachable = new Set<string>();
    private readonly clock: Clock;
    private readonly apply: (order: KeyOrder, holdMs: Milliseconds) => OrderOutcome;

    /** @param apply carries out an order at the address of the server that it names */
    constructor(clock: Clock, apply: (order: KeyOrder, holdMs: Milliseconds) => OrderOutcome) {
        super();
        this.clock = clock;
        this.apply = apply;
    }

    override grant(server: RegisteredServer, grant: KeyGrant): Promise<OrderOutcome> {
        const { fence, first, handover, holdMs, last } = grant;
        const order: KeyOrder = { kind: "grant", holder: getHolder(server), first, last, fence, handover };
        return this.send(order, holdMs, GRANT_TIMEOUT_MS);
    }

    override release(
        server: RegisteredServer,
        { first, last }: KeyRange,
        fence: number,
    ): Promise<OrderOutcome> {
        const holder = getHolder(server);
        const order: KeyOrder = { kind: "release", holder, first, last, fence, handover: undefined };
        return this.send(order, 0, RELEASE_TIMEOUT_MS);
    }

    private async send(
        order: KeyOrder,
        holdMs: Milliseconds,
        timeoutMs: Milliseconds,
    ): Promise<OrderOutcome> {
        await this.clock.sleep(TRAVEL_MS);
        if (this.unreachable.has(order.holder.id)) {
            await this.clock.sleep(timeoutMs - TRAVEL_MS);
            return { kind: "unknown", reason: "no answer" };
        }
        const outcome = this.apply(order, holdMs);
        await this.clock.sleep(TRAVEL_MS);
        return outcome;
    }

    override abandon(): void {}
}

function getHolder({ id, startedAt }: RegisteredServer) {
    return { id, startedAt };
}
