import { Logger, ManualClock, Metrics } from "@arbutusdoor/common";
import { expect, test } from "vitest";
import { ServerDirectory } from "../src/discovery/serverDirectory.js";
import { createOwnershipSettings } from "../src/host/createOwnershipSettings.js";
import { REBALANCE } from "../src/host/rebalance.js";
import { KeyOrders } from "../src/orders/keyOrders.js";
import type { OrderOutcome } from "../src/orders/orderOutcome.js";
import { KeyCoordinator } from "../src/ownership/keyCoordinator.js";
import type { KeyMap } from "../src/ownership/keyMap.js";
import { TableView } from "../src/store/tableView.js";
import { MemoryRowTable } from "./support/memoryRowTable.js";
import { SAME_CLOCK } from "./support/sameClock.js";

const PENDING = new Promise<OrderOutcome>(() => undefined);

/** Orders that never end; counts how often all were given up. */
class PendingOrders extends KeyOrders {
    abandoned = 0;

    override grant(): Promise<OrderOutcome> {
        return PENDING;
    }

    override release(): Promise<OrderOutcome> {
        return PENDING;
    }

    override restrictConnecting(): void {}

    override abandon(): void {
        this.abandoned++;
    }
}

function createCoordinator() {
    const clock = new ManualClock();
    const orders = new PendingOrders();
    let ticks = 0;
    const coordinator = new KeyCoordinator({
        clock,
        logger: new Logger(clock, "host", "silent"),
        metrics: new Metrics(),
        orders,
        table: new MemoryRowTable<KeyMap>(clock),
        onCommitted: () => undefined,
        directory: new ServerDirectory(new TableView(), clock),
        getConfiguration: () => {
            ticks++;
            return undefined;
        },
        lease: { isValid: true, storeContactAge: 0, storeEra: 0, ...SAME_CLOCK },
        settings: createOwnershipSettings(9_000, 9_000),
        rebalance: REBALANCE,
        stripeKeys: 128,
        onHeld: () => undefined,
    });
    const countTicks = (duration: number) => {
        const before = ticks;
        clock.advance(duration);
        return ticks - before;
    };
    return { coordinator, countTicks, orders };
}

// Guards against two owners of a key: the successor of a coordinator that stops counts from the stop, so that no order may arrive after it.
test("a coordinator that stops gives up its orders in progress, once", () => {
    const { coordinator, orders } = createCoordinator();
    coordinator.start(1, []);
    expect(orders.abandoned).toBe(0);
    coordinator.stop();
    coordinator.stop();
    expect(orders.abandoned).toBe(1);
});

test("a coordinator that begins a new term gives up the orders of the term before", () => {
    const { coordinator, orders } = createCoordinator();
    coordinator.start(1, []);
    coordinator.start(2, []);
    expect(orders.abandoned).toBe(1);
});

// Guards against orders at twice their rate: a coordination that begins within a tick of the end of another one runs its ticks as well.
test("a coordinator that begins again at once ticks as often as before", () => {
    const { coordinator, countTicks } = createCoordinator();
    coordinator.start(1, []);
    const usual = countTicks(1_000);
    coordinator.stop();
    coordinator.start(2, []);
    coordinator.start(3, []);
    expect(countTicks(1_000)).toBe(usual);
    coordinator.stop();
    expect(countTicks(1_000)).toBe(0);
});
