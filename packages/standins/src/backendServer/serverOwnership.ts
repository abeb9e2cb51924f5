import type { Order, OrderReply } from "@arbutusdoor/clients";
import type { Milliseconds, ServerId, ServerIncarnation, Timer } from "@arbutusdoor/common";
import type { Gate } from "../common/gate.js";
import type { Journal } from "../common/journal.js";
import { applyOrder } from "./applyOrder.js";
import { dropLapsed } from "./dropLapsed.js";
import { getOrderRefusal } from "./getOrderRefusal.js";
import { getSliceName } from "./getSliceName.js";
import type { PausableClock } from "./pausableClock.js";
import type { ServerEntry } from "./serverEntry.js";
import type { ServerState } from "./serverState.js";
import type { WorkList } from "./workList.js";

const MAX_WAIT_MS = 1_000_000_000;

const INITIAL_STATE: ServerState = {
    listVersion: 0,
    grantors: undefined,
    epoch: 0,
    leaseUntil: Number.NEGATIVE_INFINITY,
    held: new Map(),
    fences: new Map(),
};

/** Who the server is and whether it checks orders. */
type Self = {
    readonly server: ServerId;
    readonly incarnation: ServerIncarnation;
    readonly checksOrders: boolean;
};

type Interval = { readonly slice: string; readonly generation: number; readonly from: number; };

/** The slices that a server holds, changed by orders and by its own clock, with a record of every interval of ownership. */
export class ServerOwnership {
    private readonly self: Self;
    private readonly clock: PausableClock;
    private readonly gate: Gate;
    private readonly work: WorkList;
    private readonly journal: Journal<ServerEntry>;
    private state = INITIAL_STATE;
    private open: readonly Interval[] = [];
    private expiry: Timer | undefined;

    /** @param gate closed while the server is frozen */
    constructor(
        self: Self,
        clock: PausableClock,
        gate: Gate,
        work: WorkList,
        journal: Journal<ServerEntry>,
    ) {
        this.self = self;
        this.gate = gate;
        this.clock = clock;
        this.work = work;
        this.journal = journal;
    }

    /** Slices held. */
    get heldCount(): number {
        return this.state.held.size;
    }

    /** Takes or refuses an order. */
    takeOrder(order: Order, isLeaving: boolean): OrderReply {
        this.expire();
        const isProbe = order.incarnation === undefined;
        const refusal = isProbe || !this.self.checksOrders
            ? undefined
            : getOrderRefusal(this.state, order, this.self);
        if (refusal) {
            const from = `${order.from.host}/${order.from.incarnation}`;
            this.journal.add({ kind: "orderRefused", time: this.clock.wallTime(), from, reason: refusal });
        }
        if (!isProbe && !refusal) {
            this.change(applyOrder(this.state, order, this.clock.now()));
            this.scheduleExpiry();
        }
        return this.getReply(order, refusal, isLeaving);
    }

    /** Whether the server holds a slice at exactly a generation. */
    isHeld(slice: string, generation: number): boolean {
        this.expire();
        return this.state.held.get(slice) === generation;
    }

    /** Drops what a lapsed lease no longer covers, and ends the work on it. */
    expire(): void {
        this.change(dropLapsed(this.state, this.clock.now()));
    }

    /** Stops the clock's pending action. */
    stop(): void {
        this.expiry?.cancel();
    }

    /** Ends the intervals of slices that were given up, once their work has ended. */
    closeIntervals(): void {
        const until = Math.min(this.clock.wallTime(), this.getLapseTime());
        const isOver = (interval: Interval) => this.isOver(interval);
        for (const interval of this.open.filter(isOver)) {
            this.journal.add({ kind: "owned", ...interval, until: Math.max(interval.from, until) });
        }
        this.open = this.open.filter(interval => !this.isOver(interval));
    }

    /** The intervals that are still open, ended at this moment. */
    list(): readonly ServerEntry[] {
        const until = Math.min(this.clock.wallTime(), this.getLapseTime());
        return this.open.map(interval => ({
            kind: "owned",
            ...interval,
            until: Math.max(interval.from, until),
        }));
    }

    private isOver({ slice, generation }: Interval): boolean {
        const isHeld = this.state.held.get(slice) === generation;
        const isFinishing = this.work.isRunning(slice, generation + 1);
        return !isHeld && !isFinishing;
    }

    private change(after: ServerState): void {
        const before = this.state;
        if (after === before) {
            return;
        }
        this.state = after;
        const isLapsed = after.held.size === 0 && this.clock.now() >= before.leaseUntil;
        if (isLapsed || after.epoch > before.epoch) {
            this.cancelWork(before);
        }
        if (after.held !== before.held) {
            this.closeIntervals();
            this.openIntervals();
        }
    }

    private cancelWork(before: ServerState): void {
        for (const [slice, generation] of before.held) {
            this.work.cancel(slice, generation);
        }
    }

    private openIntervals(): void {
        const from = this.clock.wallTime();
        const known = new Set(this.open.map(interval => `${interval.slice} ${interval.generation}`));
        const begun = [...this.state.held]
            .filter(([slice, generation]) => !known.has(`${slice} ${generation}`))
            .map(([slice, generation]) => ({ slice, generation, from }));
        this.open = [...this.open, ...begun];
    }

    private scheduleExpiry(): void {
        this.expiry?.cancel();
        if (this.state.held.size > 0) {
            const left = Math.min(MAX_WAIT_MS, this.state.leaseUntil - this.clock.now());
            this.expiry = this.clock.schedule(left, () => void this.awake());
        }
    }

    private async awake(): Promise<void> {
        await this.gate.pass();
        this.expire();
        this.scheduleExpiry();
    }

    /** Wall-clock time of the end of the lease. */
    private getLapseTime(): Milliseconds {
        return this.clock.wallTime() + this.state.leaseUntil - this.clock.now();
    }

    private getReply(order: Order, reason: string | undefined, isLeaving: boolean): OrderReply {
        const { state, self } = this;
        return {
            server: self.server,
            incarnation: self.incarnation,
            clock: this.clock.now(),
            listVersion: state.listVersion,
            epoch: state.epoch,
            isAccepted: reason === undefined,
            ...(reason === undefined ? {} : { reason }),
            taken: order.take.filter(slice => state.held.get(getSliceName(slice)) === slice.generation),
            fenced: order.fence.filter(slice => this.isFenced(getSliceName(slice), slice.generation)),
            heldCount: state.held.size,
            isLeaving,
        };
    }

    /** Whether no work below a generation runs, and none will. A server that checks nothing can't promise that. */
    private isFenced(slice: string, generation: number): boolean {
        const isKept = (this.state.fences.get(slice) ?? 0) >= generation;
        return this.self.checksOrders && isKept && !this.work.isRunning(slice, generation);
    }
}
