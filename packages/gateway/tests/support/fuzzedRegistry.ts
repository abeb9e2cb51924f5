import {
    Logger,
    ManualClock,
    type Milliseconds,
    type RandomSource,
    type ServerId,
} from "@arbutusdoor/common";
import type { RegisteredServer } from "../../src/discovery/registeredServer.js";
import { ServerDirectory } from "../../src/discovery/serverDirectory.js";
import type { OrderOutcome } from "../../src/orders/orderOutcome.js";
import type { HolderState } from "../../src/ownership/holderState.js";
import type { KeyHolder } from "../../src/ownership/keyHolder.js";
import type { KeyMap } from "../../src/ownership/keyMap.js";
import type { KeyOrder } from "../../src/ownership/keyOrder.js";
import { listHolders } from "../../src/ownership/listHolders.js";
import { ServerLiveness } from "../../src/ownership/serverLiveness.js";
import { TableView } from "../../src/store/tableView.js";
import { createRegisteredServer } from "./createRegisteredServer.js";
import type { OrderSender } from "./orderSender.js";
import type { SimulatedServer } from "./simulatedServer.js";

/** A server that runs writes its entry again after this time. */
const HEARTBEAT_MS = 900;
/** By how much later an entry of another writer says that a server started; its next start is later still. */
const FOREIGN_START = 0.5;

/** An order on its way, with the entry whose address it was sent to. */
type SentOrder = {
    readonly order: KeyOrder;
    readonly sender: OrderSender;
    readonly entry: RegisteredServer | undefined;
    readonly sentAt: Milliseconds;
};

/** The registry of a random run with entries of other writers, and what each coordinator concludes from it and from the answers to its orders. */
export class FuzzedRegistry {
    private readonly clock = new ManualClock();
    private readonly logger = new Logger(this.clock, "test", "silent");
    private readonly view = new TableView<RegisteredServer>();
    private readonly directory = new ServerDirectory(this.view, this.clock);
    private readonly liveness = new WeakMap<OrderSender, ServerLiveness>();
    private readonly holders = new Map<ServerId, KeyHolder>();
    /** When the servers whose entries are another writer's write them again. */
    private readonly rewrittenAt = new Map<ServerId, Milliseconds>();
    private version = 0;

    constructor() {
        this.view.applySnapshot([], 0);
    }

    /** Registers an incarnation of a server. */
    register(holder: KeyHolder): void {
        this.holders.set(holder.id, holder);
        this.rewrittenAt.delete(holder.id);
        this.put(holder, holder.id);
    }

    /** Lets another writer name a newer start of one of the servers, or its own start, with the address of another one. */
    addForeignEntry(servers: readonly SimulatedServer[], random: RandomSource, now: Milliseconds): void {
        const { holder } = random.pick(servers);
        const { holder: { id: other } } = random.pick(servers.filter(server => server.holder !== holder));
        const startedAt = holder.startedAt + (random.nextFraction() < 0.5 ? FOREIGN_START : 0);
        this.put({ id: holder.id, startedAt }, other);
        this.rewrittenAt.set(holder.id, now + HEARTBEAT_MS);
    }

    /** Advances time. */
    advance(now: Milliseconds): void {
        this.clock.advance(now - this.clock.now());
        for (const [id, at] of this.rewrittenAt) {
            if (at <= now) {
                this.register(this.holders.get(id)!);
            }
        }
    }

    /** Returns the incarnations that a coordinator takes for live. */
    listLive(sender: OrderSender): readonly KeyHolder[] {
        return [...this.view.present.values()].flatMap(({ content }) =>
            content.kind === "value" && this.getState(content.value, sender) === "live"
                ? [{ id: content.value.id, startedAt: content.value.startedAt }]
                : []
        );
    }

    /** Returns the entry to whose address an order is sent; `undefined` when it cannot be sent. */
    findEntry({ holder, kind }: KeyOrder): RegisteredServer | undefined {
        return this.directory.find(holder)
            ?? (kind === "release" ? this.directory.findNewest(holder.id) : undefined);
    }

    /** Returns what a coordinator knows about an incarnation. */
    getState(holder: KeyHolder, sender: OrderSender): HolderState {
        return this.getLiveness(sender).getState(holder);
    }

    /** Records that a coordinator has taken a map over. */
    recordInherited(sender: OrderSender, map: KeyMap): void {
        this.getLiveness(sender).recordInherited(listHolders(map));
    }

    /** Records the outcome of an order. */
    recordOutcome(
        { entry, order, sender, sentAt }: SentOrder,
        outcome: OrderOutcome,
        now: Milliseconds,
    ): void {
        this.getLiveness(sender).recordOutcome(order.holder, outcome, { server: entry, sentAt, now });
    }

    private getLiveness(sender: OrderSender): ServerLiveness {
        const known = this.liveness.get(sender);
        if (known) {
            return known;
        }
        const created = new ServerLiveness(this.directory, this.logger);
        this.liveness.set(sender, created);
        return created;
    }

    private put({ id, startedAt }: KeyHolder, address: ServerId): void {
        this.version++;
        const value = createRegisteredServer(id, { startedAt, address });
        const row = { key: id, version: this.version, content: { kind: "value", value } as const };
        this.view.applyChanges(this.version - 1, [row], this.version);
    }
}
