import type { Milliseconds } from "@arbutusdoor/common";
import type { OrderOutcome } from "../../src/orders/orderOutcome.js";
import { getHolderName } from "../../src/ownership/getHolderName.js";
import type { KeyHolder } from "../../src/ownership/keyHolder.js";
import type { KeyOrder } from "../../src/ownership/keyOrder.js";

import { listOrderKeys } from "./listOrderKeys.js";

/** A server's hold on one key. */
type Hold = { fence: number; until: Milliseconds; };

/**
 * A backend server as the platform specifies it, by single keys: it refuses grants below the highest fencing token that it has seen for a
 * key, and never refuses a release. Its clock may run slow.
 */
export class SimulatedServer {
    readonly holder: KeyHolder;
    readonly address: string;
    isUp = true;
    private readonly clockSlowness: number;
    private readonly holds = new Map<number, Hold>();
    private readonly seen = new Map<number, number>();

    constructor(holder: KeyHolder, clockSlowness: number, address = "") {
        this.holder = holder;
        this.address = address;
        this.clockSlowness = clockSlowness;
    }

    /** Name of this incarnation of the server. */
    get name(): string {
        return getHolderName(this.holder);
    }

    /** Carries out an order that arrived at `arrivedAt`. */
    apply(order: KeyOrder, holdMs: Milliseconds, arrivedAt: Milliseconds): OrderOutcome {
        const keys = listOrderKeys(order);
        if (order.kind === "grant" && keys.some(key => (this.seen.get(key) ?? 0) > order.fence)) {
            return { kind: "fenced" };
        }
        for (const key of keys) {
            this.seen.set(key, Math.max(this.seen.get(key) ?? 0, order.fence));
            if (order.kind === "release") {
                this.holds.delete(key);
            }
            else {
                const until = arrivedAt + holdMs * (1 + this.clockSlowness);
                this.holds.set(key, { fence: order.fence, until });
            }
        }
        return { kind: "done", handover: order.kind === "release" ? `h${order.first}` : undefined };
    }

    /** Whether the server would serve a key now. */
    isHolding(key: number, now: Milliseconds): boolean {
        const hold = this.holds.get(key);
        return this.isUp && hold !== undefined && now < hold.until;
    }
}
