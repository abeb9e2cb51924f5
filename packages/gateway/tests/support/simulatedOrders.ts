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
const NOT_CONNECTED: OrderOutcome = { kind: "notConnected" };

/** Orders of one host to simulated servers. A partition loses them. */
export class SimulatedOrders extends KeyOrders {
    /** Ids of the servers that this host cannot reach. */
    readonly unreachable = new Set<string>();
    private readonly clock: Clock;
    private readonly apply: (order: KeyOrder, holdMs: Milliseconds) => OrderOutcome;
    private readonly getListening: (id: string) => string | undefined;
    private readonly refusing: ReadonlySet<string>;
    /** Name of the incarnation that accepted the open connection to each server. */
    private readonly connections = new Map<string, string>();
    private mayConnect = () => true;

    /**
     * @param apply carries out an order at the address of the server that it names
     * @param getListening returns the name of the incarnation that listens at a server's address
     * @param refusing ids of the servers to which connections are refused although they run
     */
    constructor(
        clock: Clock,
        apply: (order: KeyOrder, holdMs: Milliseconds) => OrderOutcome,
        getListening: (id: string) => string | undefined,
        refusing: ReadonlySet<string>,
    ) {
        super();
        this.clock = clock;
        this.apply = apply;
        this.getListening = getListening;
        this.refusing = refusing;
    }

    override restrictConnecting(mayConnect: () => boolean): void {
        this.mayConnect = mayConnect;
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
        if (this.refusing.has(order.holder.id)) {
            this.connections.delete(order.holder.id);
            return { kind: "unsent", reason: "refused" };
        }
        const outcome = this.connect(order.holder.id) ? this.apply(order, holdMs) : NOT_CONNECTED;
        await this.clock.sleep(TRAVEL_MS);
        return outcome;
    }

    override abandon(): void {}

    /** Whether there is a connection to the process that listens at the server's address, also one that was opened now. */
    private connect(id: string): boolean {
        const listening = this.getListening(id);
        if (listening === undefined || this.connections.get(id) !== listening) {
            this.connections.delete(id);
            if (!this.mayConnect()) {
                return false;
            }
        }
        if (listening !== undefined) {
            this.connections.set(id, listening);
        }
        return true;
    }
}

function getHolder({ id, startedAt }: RegisteredServer) {
    return { id, startedAt };
}
