import type { Milliseconds } from "@arbutusdoor/common";
import { createOwnershipSettings } from "../../src/host/createOwnershipSettings.js";
import type { OrderOutcome } from "../../src/orders/orderOutcome.js";
import { getHolderName } from "../../src/ownership/getHolderName.js";
import type { HolderState } from "../../src/ownership/holderState.js";
import type { KeyHolder } from "../../src/ownership/keyHolder.js";
import type { KeyMap } from "../../src/ownership/keyMap.js";
import type { KeyOrder } from "../../src/ownership/keyOrder.js";
import { OrderScheduler } from "../../src/ownership/orderScheduler.js";
import { createHolder } from "./createHolder.js";
import { SAME_CLOCK } from "./sameClock.js";
import { SimulatedServer } from "./simulatedServer.js";

const HOLD_MS = 2_000;
const STEP_MS = 20;
const ANSWER_MS = 4;
const KEYS = 4;
const ORDER_LIMIT = 16;

/** How a server treats orders: it carries them out; does not answer; or is proved dead. */
type ServerMode = "up" | "silent" | "dead";

/** An order without an answer yet. */
type PendingOrder = {
    readonly order: KeyOrder;
    readonly scheduler: OrderScheduler;
    readonly answersAt: Milliseconds;
    readonly outcome: OrderOutcome;
};

/** A scripted simulation of coordinators and the servers `a` and `b` over four keys, with a record of orders and holders. */
export class OwnershipSession {
    readonly lines: string[] = [];
    private readonly settings = createOwnershipSettings(HOLD_MS, HOLD_MS);
    private readonly servers = new Map<string, SimulatedServer>();
    private readonly modes = new Map<string, ServerMode>();
    private committed: KeyMap;
    private scheduler: OrderScheduler;
    private pending: readonly PendingOrder[] = [];
    private term = 1;
    private now: Milliseconds = 0;
    private held = "";

    constructor() {
        const [a, b] = [createHolder("a"), createHolder("b")];
        [a, b].forEach(holder => this.servers.set(getHolderName(holder), new SimulatedServer(holder, 0)));
        this.committed = {
            term: 1,
            fence: 1,
            ranges: [
                { first: 0, last: 1, owner: a, fence: 1, previous: [] },
                { first: 2, last: KEYS - 1, owner: b, fence: 1, previous: [] },
            ],
        };
        this.scheduler = this.createScheduler(false);
    }

    /** Changes how a server treats orders from now on. */
    setMode(id: string, mode: ServerMode): void {
        this.record(`${id} is ${mode}`);
        const holder = createHolder(id);
        this.modes.set(getHolderName(holder), mode);
        this.servers.get(getHolderName(holder))!.isUp = mode !== "dead";
    }

    /** Commits a move of keys. */
    move(first: number, last: number, to: string): void {
        this.committed = this.scheduler.propose(
            this.term,
            [{ first, last, owner: createHolder(to) }],
            this.now,
        );
        this.scheduler.commit(this.committed);
        this.record(`keys ${first}-${last} are committed to ${to} by ${this.committed.fence}`);
    }

    /** Lets another coordinator take over with the committed map. */
    takeOver(): void {
        this.term++;
        this.committed = { ...this.committed, term: this.term };
        this.pending = [];
        this.scheduler = this.createScheduler(true);
        this.record(`coordinator ${this.term} takes over`);
    }

    /** Delivers an old order late, as can happen when a server did not answer it. */
    deliverLate(order: KeyOrder, arrivedAt: Milliseconds): void {
        const outcome = this.servers.get(getHolderName(order.holder))!.apply(order, HOLD_MS, arrivedAt);
        this.record(`late ${describe(order)}: ${outcome.kind}`);
        this.recordHolders();
    }

    /** Advances time; renewals that change nothing are not recorded. */
    run(duration: Milliseconds): void {
        for (const end = this.now + duration; this.now < end; this.now += STEP_MS) {
            for (const order of this.scheduler.takeDueOrders(this.now, true, ORDER_LIMIT)) {
                this.send(order);
            }
            const due = this.pending.filter(({ answersAt }) => answersAt <= this.now + ANSWER_MS);
            this.pending = this.pending.filter(item => !due.includes(item));
            due.forEach(({ scheduler, order, outcome }) => scheduler.complete(order, outcome, this.now));
            this.recordHolders();
        }
    }

    private send(order: KeyOrder): void {
        const server = this.servers.get(getHolderName(order.holder))!;
        const isAnswered = (this.modes.get(getHolderName(order.holder)) ?? "up") === "up";
        const isRenewal = order.kind === "grant" && server.isHolding(order.first, this.now);
        const outcome: OrderOutcome = isAnswered
            ? server.apply(order, HOLD_MS, this.now)
            : { kind: "unknown", reason: "no answer" };
        if (!isRenewal || !isAnswered) {
            this.record(`${describe(order)}: ${outcome.kind}`);
        }
        const answersAt = this.now + (isAnswered ? ANSWER_MS : this.settings.orderTimeoutMs);
        this.pending = [...this.pending, { order, scheduler: this.scheduler, answersAt, outcome }];
    }

    private recordHolders(): void {
        const held = Array.from({ length: KEYS }, (_, key) => this.listHolders(key)).join(" ");
        if (held !== this.held) {
            this.held = held;
            this.record(`held by: ${held}`);
        }
    }

    /** Returns the ids of the servers that would serve a key now, `-` when none would. */
    private listHolders(key: number): string {
        const ids = [...this.servers.values()].filter(server => server.isHolding(key, this.now)).map((
            { holder },
        ) => holder.id);
        return ids.join("+") || "-";
    }

    private createScheduler(isInherited: boolean): OrderScheduler {
        return new OrderScheduler(
            this.committed,
            isInherited,
            this.now,
            this.settings,
            holder => this.getState(holder),
            SAME_CLOCK,
        );
    }

    private getState(holder: KeyHolder): HolderState {
        return this.modes.get(getHolderName(holder)) === "dead" ? "dead" : "live";
    }

    private record(text: string): void {
        this.lines.push(`${this.now} ms: ${text}`);
    }
}

function describe({ fence, first, holder, kind, last, ...rest }: KeyOrder): string {
    const handover = "handover" in rest && rest.handover ? ` with ${String(rest.handover)}` : "";
    return `${kind} ${first}-${last} by ${fence} to ${holder.id}${handover}`;
}
