import type { Clock, Milliseconds } from "@arbutusdoor/common";
import type { RegisteredServer } from "../../src/discovery/registeredServer.js";
import type { KeyGrant } from "../../src/orders/keyGrant.js";
import { KeyOrders } from "../../src/orders/keyOrders.js";
import type { KeyRange } from "../../src/orders/keyRange.js";
import type { OrderOutcome } from "../../src/orders/orderOutcome.js";
import type { KeyOrder } from "../../src/ownership/keyOrder.js";
import type { HeldOrder } from "./heldOrder.js";
import { HostClock } from "./hostClock.js";
import type { ServerNetwork } from "./serverNetwork.js";
import type { SimulatedServer } from "./simulatedServer.js";

const TRAVEL_MS = 2;
const GRANT_TIMEOUT_MS = 800;
const RELEASE_TIMEOUT_MS = 3_000;
/** Pause between the first two attempts to open a connection; each further one takes twice as long. */
const FIRST_PAUSE_MS = 1_000;
const NOT_CONNECTED: OrderOutcome = { kind: "notConnected" };
const NO_ANSWER: OrderOutcome = { kind: "unknown", reason: "no answer" };

/** Orders of one host to simulated servers. A partition loses them, or holds them while their connections are open. */
export class SimulatedOrders extends KeyOrders {
    /** Ids of the servers that this host cannot reach; orders to them are lost. */
    readonly unreachable = new Set<string>();
    private readonly clock: Clock;
    private readonly hostClock: HostClock;
    private readonly network: ServerNetwork;
    private readonly partitioned: ReadonlySet<string>;
    /** The process that accepted the open connection to each server. */
    private readonly connections = new Map<string, SimulatedServer>();
    private held: readonly HeldOrder[] = [];
    private hasEnded = false;
    private mayConnect = () => true;

    /**
     * @param clock clock of the network
     * @param hostClock clock of the host
     * @param partitioned ids of the servers from which this host is partitioned; orders to them are held
     */
    constructor(
        clock: Clock,
        hostClock: HostClock,
        network: ServerNetwork,
        partitioned: ReadonlySet<string>,
    ) {
        super();
        this.clock = clock;
        this.hostClock = hostClock;
        this.network = network;
        this.partitioned = partitioned;
    }

    /** Number of orders that a partition holds. */
    get heldOrders(): number {
        return this.held.length;
    }

    override restrictConnecting(mayConnect: () => boolean): void {
        this.mayConnect = mayConnect;
    }

    override grant(server: RegisteredServer, grant: KeyGrant): Promise<OrderOutcome> {
        const { fence, first, handover, holdMs, last } = grant;
        const order: KeyOrder = { kind: "grant", holder: getHolder(server), first, last, fence, handover };
        return this.send(server, order, holdMs, GRANT_TIMEOUT_MS);
    }

    override release(
        server: RegisteredServer,
        { first, last }: KeyRange,
        fence: number,
    ): Promise<OrderOutcome> {
        const holder = getHolder(server);
        const order: KeyOrder = { kind: "release", holder, first, last, fence, handover: undefined };
        return this.send(server, order, 0, RELEASE_TIMEOUT_MS);
    }

    override abandon(): void {
        // A process that was killed cannot reset its connections.
        if (!this.hasEnded) {
            this.held.forEach(held => held.isReset = true);
        }
    }

    /** Ends the process without notice: its machine goes on sending what is held. */
    end(): void {
        this.hasEnded = true;
    }

    /**
     * Delivers the orders that were held by a partition that has ended, unless they are given up first.
     *
     * @param takeDelay returns how long after the end of the partition the next attempt to send an order follows
     */
    deliverHeld(takeDelay: () => Milliseconds): void {
        const { held } = this;
        this.held = [];
        for (const entry of held.filter(({ isReset }) => !isReset)) {
            this.clock.schedule(takeDelay(), () => {
                if (!entry.isReset && entry.server.isUp) {
                    this.network.applyAt(entry.server, entry.order, entry.holdMs, this.clock.now());
                }
            });
        }
    }

    private async send(
        server: RegisteredServer,
        order: KeyOrder,
        holdMs: Milliseconds,
        timeoutMs: Milliseconds,
    ): Promise<OrderOutcome> {
        const outcome = await this.transmit(server, order, holdMs, timeoutMs);
        if (this.hostClock.isPaused) {
            await this.hostClock.resume();
        }
        return outcome;
    }

    private async transmit(
        server: RegisteredServer,
        order: KeyOrder,
        holdMs: Milliseconds,
        timeoutMs: Milliseconds,
    ): Promise<OrderOutcome> {
        await this.clock.sleep(TRAVEL_MS);
        if (this.partitioned.has(server.id)) {
            const accepted = this.connections.get(server.id);
            if (accepted) {
                return this.hold(order, holdMs, timeoutMs, accepted);
            }
            const isConnected = await this.connectLater(server.id, timeoutMs);
            if (!isConnected) {
                return this.mayConnect() ? { kind: "unsent", reason: "no connection" } : NOT_CONNECTED;
            }
        }
        if (this.unreachable.has(server.id)) {
            await this.clock.sleep(timeoutMs - TRAVEL_MS);
            return NO_ANSWER;
        }
        if (this.network.refusing.has(server.id)) {
            this.connections.delete(server.id);
            return { kind: "unsent", reason: "refused" };
        }
        if (!this.connect(server)) {
            return NOT_CONNECTED;
        }
        const listening = this.network.findListening(server);
        const lateness = listening && this.network.takeLateness();
        if (lateness !== undefined) {
            const arrivedAt = this.clock.now();
            this.clock.schedule(lateness, () => {
                if (listening!.isUp) {
                    this.network.applyAt(listening!, order, holdMs, arrivedAt);
                }
            });
            await this.clock.sleep(timeoutMs - TRAVEL_MS);
            return NO_ANSWER;
        }
        const outcome = this.network.apply(server, order, holdMs);
        await this.clock.sleep(TRAVEL_MS);
        return outcome;
    }

    /** Sends an order over an open connection during a partition, until the host's timer gives it up. */
    private async hold(
        order: KeyOrder,
        holdMs: Milliseconds,
        timeoutMs: Milliseconds,
        server: SimulatedServer,
    ): Promise<OrderOutcome> {
        const held: HeldOrder = { order, holdMs, server, isReset: false };
        this.held = [...this.held, held];
        await this.hostClock.sleep(timeoutMs - TRAVEL_MS);
        if (!this.hasEnded) {
            held.isReset = true;
            this.held = this.held.filter(other => other !== held);
            this.connections.delete(order.holder.id);
        }
        return NO_ANSWER;
    }

    /** Attempts to connect during a partition, with pauses that double. Returns whether an attempt follows its end in time. */
    private async connectLater(id: string, timeoutMs: Milliseconds): Promise<boolean> {
        let left = timeoutMs - TRAVEL_MS;
        for (let pause = FIRST_PAUSE_MS; pause < left; pause *= 2) {
            await this.hostClock.sleep(pause);
            left -= pause;
            if (!this.partitioned.has(id)) {
                return true;
            }
        }
        await this.hostClock.sleep(left);
        return false;
    }

    /** Whether there is a connection to the process that listens at the server's address, also one that was opened now. */
    private connect(server: RegisteredServer): boolean {
        const { id } = server;
        const listening = this.network.findListening(server);
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
