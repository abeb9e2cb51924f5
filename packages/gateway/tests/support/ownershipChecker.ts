import type { Milliseconds } from "@arbutusdoor/common";
import type { OrderOutcome } from "../../src/orders/orderOutcome.js";
import type { KeyOrder } from "../../src/ownership/keyOrder.js";
import type { SimulatedServer } from "./simulatedServer.js";

/** A server's newest fence for a key. */
type Tenure = { readonly server: SimulatedServer; readonly fence: number; };

/** Judges what servers hold: no key has two holders, and a key is taken with a fence above all that other servers had it with. */
export class OwnershipChecker {
    readonly violations: string[] = [];
    /** Names of the holders of each key that has more than one. */
    private readonly shared = new Map<number, string>();
    private readonly tenures = new Map<number, Tenure[]>();

    /** Lets a server carry an order out that arrived at a time. A renewal of what it holds is no new tenure. */
    applyOrder(
        server: SimulatedServer,
        order: KeyOrder,
        holdMs: Milliseconds,
        arrivedAt: Milliseconds,
        now: Milliseconds,
    ): OrderOutcome {
        const keys = Array.from({ length: order.last - order.first + 1 }, (_, index) => order.first + index);
        const free = keys.filter(key => !server.isHolding(key, now));
        const outcome = server.apply(order, holdMs, arrivedAt);
        if (order.kind === "grant" && outcome.kind === "done") {
            const taken = keys.filter(key => server.isHolding(key, now));
            taken.filter(key => free.includes(key)).forEach(key =>
                this.noteTaking(key, server, order.fence, now)
            );
            taken.forEach(key => this.noteTenure(key, { server, fence: order.fence }));
        }
        return outcome;
    }

    /** Checks the holders of a key now. Returns whether there is one. */
    check(key: number, servers: Iterable<SimulatedServer>, now: Milliseconds): boolean {
        const holders = [...servers].filter(server => server.isHolding(key, now));
        const names = holders.length > 1 ? holders.map(({ name }) => name).join(" and ") : "";
        if (names !== (this.shared.get(key) ?? "")) {
            this.shared.set(key, names);
            this.violations.push(`${now} ms: key ${key} is held by ${names || "one server again"}`);
        }
        return holders.length > 0;
    }

    private noteTaking(key: number, server: SimulatedServer, fence: number, now: Milliseconds): void {
        const higher = this.listTenures(key).find(tenure =>
            tenure.server !== server && tenure.fence >= fence
        );
        if (higher) {
            this.violations.push(
                `${now} ms: ${server.name} takes key ${key} by ${fence}, ${higher.server.name} had it by ${higher.fence}`,
            );
        }
    }

    private noteTenure(key: number, tenure: Tenure): void {
        const others = this.listTenures(key).filter(({ server }) => server !== tenure.server);
        this.tenures.set(key, [...others, tenure]);
    }

    private listTenures(key: number): readonly Tenure[] {
        return this.tenures.get(key) ?? [];
    }
}
