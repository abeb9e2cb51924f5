import {
    Logger,
    ManualClock,
    Metrics,
    type Milliseconds,
    type ServerId,
    type ServiceId,
} from "@arbutusdoor/common";
import type { RegisteredServer } from "../../src/discovery/registeredServer.js";
import { ServerDirectory } from "../../src/discovery/serverDirectory.js";
import { createOwnershipSettings } from "../../src/host/createOwnershipSettings.js";
import { REBALANCE } from "../../src/host/rebalance.js";
import { KeyOrders } from "../../src/orders/keyOrders.js";
import type { OrderOutcome } from "../../src/orders/orderOutcome.js";
import type { KeyMap } from "../../src/ownership/keyMap.js";
import type { KeyPlacement } from "../../src/ownership/keyPlacement.js";
import { ServerLiveness } from "../../src/ownership/serverLiveness.js";
import { ServerSpeeds } from "../../src/ownership/serverSpeeds.js";
import { ServiceCoordinator } from "../../src/ownership/serviceCoordinator.js";
import { TableView } from "../../src/store/tableView.js";
import { createRegisteredServer } from "./createRegisteredServer.js";
import { MemoryRowTable } from "./memoryRowTable.js";
import { SAME_CLOCK } from "./sameClock.js";

const SERVICE = "board" as ServiceId;
const TICK_MS = 20;
const HOLD_MS = 9_000;
const ANSWER_MS = 4;
const ORDER_TIMEOUT_MS = 800;
const STRIPE_KEYS = 128;

/** Orders to servers that answer at once, except the unresponsive ones and those whose addresses other servers have. */
class ScriptedOrders extends KeyOrders {
    readonly unresponsive = new Set<ServerId>();
    /** Servers that have ended and whose addresses other servers have. */
    readonly reused = new Set<ServerId>();
    private readonly clock: ManualClock;

    constructor(clock: ManualClock) {
        super();
        this.clock = clock;
    }

    override grant({ id }: { readonly id: ServerId; }): Promise<OrderOutcome> {
        return this.answer(id);
    }

    override release({ id }: { readonly id: ServerId; }): Promise<OrderOutcome> {
        return this.answer(id);
    }

    private async answer(id: ServerId): Promise<OrderOutcome> {
        if (this.unresponsive.has(id)) {
            await this.clock.sleep(ORDER_TIMEOUT_MS);
            return { kind: "unknown", reason: "no answer" };
        }
        await this.clock.sleep(ANSWER_MS);
        return { kind: this.reused.has(id) ? "otherServer" : "done" };
    }

    override restrictConnecting(): void {}

    override abandon(): void {}
}

/** The coordinator of one service that takes over a committed map, with a simulated table, registry and servers. */
export class ServiceCoordinatorHarness {
    readonly clock = new ManualClock();
    readonly orders = new ScriptedOrders(this.clock);
    /** The registry. */
    readonly view = new TableView<RegisteredServer>();
    readonly directory: ServerDirectory;
    private readonly table = new MemoryRowTable<KeyMap>(this.clock);
    private readonly maps: KeyMap[] = [];
    private readonly coordinator: ServiceCoordinator;

    /**
     * @param servers ids of the registered servers
     * @param createPlacement creates the rules by which servers get keys, if there are any
     */
    constructor(
        servers: readonly string[],
        createPlacement?: (directory: ServerDirectory, clock: ManualClock) => KeyPlacement,
    ) {
        const { clock, orders, table } = this;
        const logger = new Logger(clock, "test", "silent");
        const directory = new ServerDirectory(this.view, clock);
        this.directory = directory;
        const rows = servers.map(id => ({
            key: id,
            version: 1,
            content: { kind: "value", value: createRegisteredServer(id) } as const,
        }));
        this.view.applySnapshot(rows, 1);
        this.coordinator = new ServiceCoordinator({
            service: SERVICE,
            term: 2,
            clock,
            logger,
            metrics: new Metrics(),
            orders,
            table,
            directory,
            placement: createPlacement?.(directory, clock),
            liveness: new ServerLiveness(directory, logger),
            speeds: new ServerSpeeds(),
            lease: { ...SAME_CLOCK, storeContactAge: 0, storeEra: 0 },
            settings: createOwnershipSettings(HOLD_MS, HOLD_MS),
            rebalance: REBALANCE,
            stripeKeys: STRIPE_KEYS,
            getPredecessors: () => [],
            isCurrent: () => true,
            onCommitted: ({ content }) => {
                if (content.kind === "value") {
                    this.maps.push(content.value);
                }
            },
            onHeld: () => undefined,
        });
    }

    /** Counts a request for a key. */
    request(key: number): void {
        this.coordinator.recordLoad(key, 1);
    }

    /** Stores the map that the predecessor has committed. */
    async inherit(map: KeyMap): Promise<void> {
        const written = this.table.write(SERVICE, 0, map);
        await this.run(100, false);
        await written;
    }

    /** Advances time. */
    async run(duration: Milliseconds, isTicking = true): Promise<void> {
        for (const end = this.clock.now() + duration; this.clock.now() < end;) {
            if (isTicking) {
                this.coordinator.tick(true);
            }
            this.clock.advance(TICK_MS);
            for (let turn = 0; turn < 20; turn++) {
                await Promise.resolve();
            }
        }
    }

    /** Returns the highest number of ranges that a server had in any map committed so far. */
    countRanges(id: string): number {
        return Math.max(0, ...this.maps.map(map => countOwned(map, id)));
    }

    /** First keys of the ranges with earlier owners whose owner has confirmed its grant. */
    get held(): readonly number[] {
        return this.coordinator.listHeld().map(([first]) => first);
    }

    /** The last committed map. */
    get map(): KeyMap {
        return this.maps.at(-1)!;
    }

    /** Returns the number of ranges that a server has in the last committed map. */
    countRangesNow(id: string): number {
        const map = this.maps.at(-1);
        return map ? countOwned(map, id) : 0;
    }
}

function countOwned({ ranges }: KeyMap, id: string): number {
    return ranges.filter(({ owner }) => owner.id === id).length;
}
