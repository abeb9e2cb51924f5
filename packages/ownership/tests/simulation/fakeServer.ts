import type { Order, OrderReply, SliceGeneration } from "@arbutusdoor/clients";
import type { ManualClock } from "@arbutusdoor/common";
import type { ServerEntry } from "./serverEntry.js";
import type { ServerRequest } from "./serverRequest.js";

type Running = { readonly path: string; readonly key: string; readonly generation: number; };

/** Simulated backend server: accepts orders with fencing tokens, and journals what it holds and runs. */
export class FakeServer {
    state: "running" | "frozen" | "dead" = "running";
    isLeaving = false;
    incarnationNumber = 1;
    private clockOffset: number;
    private stoppedAt: number | undefined;
    private listVersion = 0;
    private grantors: readonly string[] = [];
    private epoch = 0;
    private leaseUntil = 0;
    private held = new Map<string, number>();
    private fences = new Map<string, number>();
    private running = new Map<string, Running>();
    private queue: (() => void)[] = [];

    constructor(
        readonly name: string,
        readonly checksOrders: boolean,
        private readonly clock: ManualClock,
        private readonly rate: number,
        private readonly journal: ServerEntry[],
    ) {
        this.clockOffset = 1000 + name.length * 77;
    }

    get incarnation(): string {
        return `${this.name}#${this.incarnationNumber}`;
    }

    /** Runs an action of the server's process: at once, after it thaws, or never. */
    execute(action: () => void): void {
        if (this.state === "frozen") {
            this.queue.push(action);
        }
        else if (this.state === "running") {
            action();
        }
    }

    freeze(isClockStopped: boolean): void {
        this.state = "frozen";
        this.write({ kind: "freezes" });
        this.stoppedAt = isClockStopped ? this.clock.now() : undefined;
    }

    thaw(): void {
        if (this.state !== "frozen") {
            return;
        }
        this.clockOffset -= this.stoppedAt === undefined
            ? 0
            : (this.clock.now() - this.stoppedAt) * this.rate;
        this.stoppedAt = undefined;
        this.state = "running";
        this.watchLease();
        this.queue.splice(0).forEach(action => this.execute(action));
    }

    kill(): void {
        this.dropAll();
        this.running.forEach(({ key }, id) => this.write({ kind: "ends", request: id, key }));
        this.running.clear();
        this.queue = [];
        this.stoppedAt = undefined;
        this.state = "dead";
    }

    restart(): void {
        this.kill();
        this.incarnationNumber++;
        this.state = "running";
        this.isLeaving = false;
        [this.listVersion, this.epoch, this.leaseUntil, this.grantors] = [0, 0, 0, []];
        this.fences.clear();
    }

    handleOrder(order: Order): OrderReply {
        this.expireLease();
        const refusal = order.incarnation === undefined ? undefined : this.admit(order);
        const isAccepted = refusal === undefined;
        const isProbe = order.incarnation === undefined;
        const taken = isAccepted && !isProbe ? order.take.filter(slice => this.take(slice)) : [];
        const fenced = isAccepted && !isProbe ? order.fence.filter(slice => this.fence(slice)) : [];
        return {
            server: order.server,
            incarnation: this.incarnation as OrderReply["incarnation"],
            clock: this.readClock(),
            listVersion: this.listVersion,
            epoch: this.epoch,
            isAccepted,
            ...(refusal === undefined ? {} : { reason: refusal }),
            taken,
            fenced,
            heldCount: this.held.size,
            isLeaving: this.isLeaving,
        };
    }

    /** Runs a request or rejects it as stale; `answer` is called when it ends. */
    handleRequest(request: ServerRequest, answer: (kind: "answered" | "stale") => void): void {
        this.expireLease();
        const path = request.slice;
        const mayRun = this.held.get(path) === request.generation;
        if (this.checksOrders && !mayRun) {
            answer("stale");
            return;
        }
        const incarnationNumber = this.incarnationNumber;
        this.running.set(request.id, { path, key: request.key, generation: request.generation });
        const { id, key, generation } = request;
        this.write({ kind: "starts", request: id, sentAt: request.sentAt, key, generation });
        this.clock.schedule(request.work, () =>
            this.execute(() => {
                if (incarnationNumber === this.incarnationNumber) {
                    this.running.delete(id);
                    this.write({ kind: "ends", request: id, key });
                    answer("answered");
                }
            }));
    }

    private admit(order: Order): string | undefined {
        if (order.incarnation !== this.incarnation) {
            return "another run";
        }
        if (this.checksOrders) {
            const isNewList = order.grantors !== undefined && order.listVersion > this.listVersion;
            if (isNewList) {
                this.listVersion = order.listVersion;
                this.grantors = order.grantors!.map(grantor => grantor.incarnation);
            }
            if (order.listVersion < this.listVersion || !this.grantors.includes(order.from.incarnation)) {
                return "not a grantor";
            }
            if (order.epoch < this.epoch) {
                return "old epoch";
            }
        }
        else {
            this.listVersion = Math.max(this.listVersion, order.listVersion);
        }
        if (order.epoch > this.epoch) {
            this.dropAll();
            this.fences.clear();
            this.epoch = order.epoch;
        }
        if (order.leaseUntil !== undefined && order.leaseUntil > this.leaseUntil) {
            this.leaseUntil = order.leaseUntil;
            this.watchLease();
        }
        return undefined;
    }

    private take({ service, slice, generation }: SliceGeneration): boolean {
        const path = `${service}/${slice}`;
        const known = this.held.get(path);
        const isFenced = generation <= (this.fences.get(path) ?? 0);
        if (this.readClock() >= this.leaseUntil || isFenced || (known ?? 0) > generation) {
            return false;
        }
        if (known !== generation) {
            this.drop(path);
            this.held.set(path, generation);
            this.write({ kind: "takes", slice: path, generation });
        }
        return true;
    }

    private fence({ service, slice, generation }: SliceGeneration): boolean {
        const path = `${service}/${slice}`;
        this.fences.set(path, Math.max(generation, this.fences.get(path) ?? 0));
        if ((this.held.get(path) ?? generation) < generation) {
            this.drop(path);
        }
        const isBusy = (other: Running) => other.path === path && other.generation < generation;
        return ![...this.running.values()].some(isBusy);
    }

    /** Drops all slices once the lease has expired by the server's own clock, frozen or not. */
    private expireLease(): void {
        if (this.readClock() >= this.leaseUntil) {
            this.dropAll();
        }
    }

    private watchLease(): void {
        const wait = (this.leaseUntil - this.readClock()) / this.rate;
        this.clock.schedule(Math.max(0, wait) + 0.001, () => this.expireLease());
    }

    private dropAll(): void {
        [...this.held.keys()].forEach(path => this.drop(path));
    }

    private drop(path: string): void {
        const generation = this.held.get(path);
        if (generation !== undefined) {
            this.held.delete(path);
            this.write({ kind: "drops", slice: path, generation });
        }
    }

    private readClock(): number {
        return (this.stoppedAt ?? this.clock.now()) * this.rate + this.clockOffset;
    }

    private write(event: ServerEntry["event"]): void {
        const { name, incarnationNumber, checksOrders } = this;
        this.journal.push({
            time: this.clock.now(),
            server: name,
            incarnation: `${name}#${incarnationNumber}`,
            checksOrders,
            event,
        });
    }
}
