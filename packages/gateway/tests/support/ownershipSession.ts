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
import { SimulatedServer } from "./simulatedServer.js";

const HOLD_MS = 2_000;
const STEP_MS = 20;
const ANSWER_MS = 4;
const KEYS = 4;
const ORDER_LIMIT = 16;

/** What a server does with orders: takes them; does not answer; or is gone, which is proved. */
type ServerMode = "up" | "silent" | "dead";

/** An order without an answer yet. */
type OpenOrder = {
    readonly order: KeyOrder;
    readonly keeper: OrderScheduler;
    readonly answersAt: Milliseconds;
    readonly outcome: OrderOutcome;
};

/** A scripted session of coordinators and the servers `a` and `b` over four keys, with a record of what is ordered and who holds what. */
export class OwnershipSession {
    readonly lines: string[] = [];
    private readonly settings = createOwnershipSettings(HOLD_MS, HOLD_MS);
    private readonly servers = new Map<string, SimulatedServer>();
    private readonly modes = new Map<string, ServerMode>();
    private committed: KeyMap;
    private keeper: OrderScheduler;
    private open: readonly OpenOrder[] = [];
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
        this.keeper = this.newKeeper(false);
    }

    /** Changes what a server does with orders from now on. */
    setMode(id: string, mode: ServerMode): void {
        this.note(`${id} is ${mode}`);
        const holder = createHolder(id);
        this.modes.set(getHolderName(holder), mode);
        this.servers.get(getHolderName(holder))!.isUp = mode !== "dead";
    }

    /** Commits a move of keys. */
    move(first: number, last: number, to: string): void {
        this.committed = this.keeper.propose(this.term, [{ first, last, owner: createHolder(to) }], this.now);
        this.keeper.commit(this.committed);
        this.note(`keys ${first}-${last} are committed to ${to} by ${this.committed.fence}`);
    }

    /** Another coordinator takes over with the committed map. */
    takeOver(): void {
        this.term++;
        this.committed = { ...this.committed, term: this.term };
        this.open = [];
        this.keeper = this.newKeeper(true);
        this.note(`coordinator ${this.term} takes over`);
    }

    /** Carries an old order out late, as a server may that did not answer it. */
    deliverLate(order: KeyOrder, arrivedAt: Milliseconds): void {
        const outcome = this.servers.get(getHolderName(order.holder))!.apply(order, HOLD_MS, arrivedAt);
        this.note(`late ${describe(order)}: ${outcome.kind}`);
        this.noteHolders();
    }

    /** Lets time pass; renewals that change nothing are not noted. */
    run(duration: Milliseconds): void {
        for (const end = this.now + duration; this.now < end; this.now += STEP_MS) {
            for (const order of this.keeper.takeDueOrders(this.now, true, ORDER_LIMIT)) {
                this.send(order);
            }
            const due = this.open.filter(({ answersAt }) => answersAt <= this.now + ANSWER_MS);
            this.open = this.open.filter(item => !due.includes(item));
            due.forEach(({ keeper, order, outcome }) => keeper.complete(order, outcome, this.now));
            this.noteHolders();
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
            this.note(`${describe(order)}: ${outcome.kind}`);
        }
        const answersAt = this.now + (isAnswered ? ANSWER_MS : this.settings.orderTimeoutMs);
        this.open = [...this.open, { order, keeper: this.keeper, answersAt, outcome }];
    }

    private noteHolders(): void {
        const held = Array.from({ length: KEYS }, (_, key) => this.listHolders(key)).join(" ");
        if (held !== this.held) {
            this.held = held;
            this.note(`held by: ${held}`);
        }
    }

    /** Ids of the servers that would serve a key now, `-` when none would. */
    private listHolders(key: number): string {
        const ids = [...this.servers.values()].filter(server => server.isHolding(key, this.now)).map((
            { holder },
        ) => holder.id);
        return ids.join("+") || "-";
    }

    private newKeeper(isInherited: boolean): OrderScheduler {
        return new OrderScheduler(
            this.committed,
            isInherited,
            this.now,
            this.settings,
            holder => this.getState(holder),
        );
    }

    private getState(holder: KeyHolder): HolderState {
        return this.modes.get(getHolderName(holder)) === "dead" ? "dead" : "live";
    }

    private note(text: string): void {
        this.lines.push(`${this.now} ms: ${text}`);
    }
}

function describe({ fence, first, holder, kind, last, ...rest }: KeyOrder): string {
    const handover = "handover" in rest && rest.handover ? ` with ${String(rest.handover)}` : "";
    return `${kind} ${first}-${last} by ${fence} to ${holder.id}${handover}`;
}
