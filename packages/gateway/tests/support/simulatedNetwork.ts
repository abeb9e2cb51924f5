import type { Clock, Milliseconds } from "@arbutusdoor/common";
import type { RegisteredServer } from "../../src/discovery/registeredServer.js";
import type { OrderOutcome } from "../../src/orders/orderOutcome.js";
import type { KeyOrder } from "../../src/ownership/keyOrder.js";
import { createHolder } from "./createHolder.js";
import type { OwnershipChecker } from "./ownershipChecker.js";
import type { ServerNetwork } from "./serverNetwork.js";
import { SimulatedServer } from "./simulatedServer.js";

const SLOWEST_CLOCK = 0.02;

/** Simulated servers at their addresses. */
export class SimulatedNetwork implements ServerNetwork {
    /** All processes of servers, also ended ones. */
    readonly incarnations: SimulatedServer[] = [];
    /** Ids and addresses of the ended servers whose addresses other servers have. */
    readonly reused = new Set<string>();
    readonly refusing = new Set<string>();
    takeLateness: () => Milliseconds | undefined = () => undefined;
    private readonly checker: OwnershipChecker;
    private readonly clock: Clock;

    constructor(checker: OwnershipChecker, clock: Clock) {
        this.checker = checker;
        this.clock = clock;
    }

    /** Starts a server's process; its earlier one ends. */
    start(id: string, address: string): void {
        const before = this.findNewest(id);
        if (before) {
            before.isUp = false;
        }
        const holder = createHolder(id, (before?.holder.startedAt ?? 0) + 1);
        this.reused.delete(`${id} ${address}`);
        this.incarnations.push(new SimulatedServer(holder, SLOWEST_CLOCK, address));
    }

    /** Returns the newest incarnation of a server, also one that has ended. */
    findNewest(id: string): SimulatedServer | undefined {
        return this.incarnations.findLast(({ holder }) => holder.id === id);
    }

    findListening({ address, id }: RegisteredServer): SimulatedServer | undefined {
        const newest = this.findNewest(id);
        return newest?.isUp && newest.address === address ? newest : undefined;
    }

    apply(server: RegisteredServer, order: KeyOrder, holdMs: Milliseconds): OrderOutcome {
        const listening = this.findListening(server);
        if (!listening) {
            return this.reused.has(`${server.id} ${server.address}`)
                ? { kind: "otherServer" }
                : { kind: "unsent", reason: "refused" };
        }
        return this.applyAt(listening, order, holdMs, this.clock.now());
    }

    applyAt(
        server: SimulatedServer,
        order: KeyOrder,
        holdMs: Milliseconds,
        arrivedAt: Milliseconds,
    ): OrderOutcome {
        return this.checker.applyOrder(server, order, holdMs, arrivedAt, this.clock.now());
    }
}
