import { type Milliseconds, RandomSource } from "@arbutusdoor/common";
import { createOwnershipSettings } from "../../src/host/createOwnershipSettings.js";
import type { OrderOutcome } from "../../src/orders/orderOutcome.js";
import { getHolderName } from "../../src/ownership/getHolderName.js";
import type { HolderState } from "../../src/ownership/holderState.js";
import type { KeyHolder } from "../../src/ownership/keyHolder.js";
import type { KeyMap } from "../../src/ownership/keyMap.js";
import { OrderScheduler } from "../../src/ownership/orderScheduler.js";
import type { OwnershipSettings } from "../../src/ownership/ownershipSettings.js";
import { createHolder } from "./createHolder.js";
import { createStripedMap } from "./createStripedMap.js";
import type { FaultModel } from "./faultModel.js";
import type { FaultProbabilities } from "./faultProbabilities.js";
import { getPresetOutcome } from "./getPresetOutcome.js";
import type { InFlightOrder } from "./inFlightOrder.js";
import type { MapWrite } from "./mapWrite.js";
import { OwnershipChecker } from "./ownershipChecker.js";
import type { Partition } from "./partition.js";
import { SAME_CLOCK } from "./sameClock.js";
import { SimulatedServer } from "./simulatedServer.js";
import { UnreliableMapRow } from "./unreliableMapRow.js";

const STEP_MS = 20;
const HOLD_MS = 2_000;
const LATE_MS = 4_000;
const WRITE_MS = 200;
const KEYS = 8;
const SERVERS = 4;

/** Maximum number of replaced coordinators that go on renewing grants. */
const MAX_RETIRED = 3;
const JOINED_RANGES = 3;
/** Time until a write without an answer is read back, and until the next write after one that did not take effect. */
const READ_BACK_MS = 150;

const DEFAULTS: FaultModel = { dropAfterMs: 0, isAddressReused: false, registryLagMs: 0, isOneSided: false };

/**
 * A seeded random run of successive coordinators over a few servers: orders are lost, carried out late or partitioned, servers crash and
 * restart, coordinators are replaced while earlier ones go on renewing grants. Checks in each step who holds which key.
 */
export class OwnershipFuzzer {
    served = 0;
    private readonly checker = new OwnershipChecker();
    private readonly random: RandomSource;
    private readonly probabilities: FaultProbabilities;
    private readonly settings: OwnershipSettings;
    private readonly model: FaultModel;
    private readonly servers = new Map<string, SimulatedServer>();
    private readonly partitions = new Map<string, Partition>();
    /** When each incarnation started, and when it ended. */
    private readonly startedAt = new Map<string, Milliseconds>();
    private readonly endedAt = new Map<string, Milliseconds>();
    /** When each replaced coordinator stopped learning of registry changes and opening connections. */
    private readonly registryLostAt = new Map<OrderScheduler, Milliseconds>();
    private inFlight: InFlightOrder[] = [];
    private readonly row: UnreliableMapRow;
    private scheduler: OrderScheduler;
    private retired: { readonly scheduler: OrderScheduler; readonly until: Milliseconds; }[] = [];
    private nextWriteAt: Milliseconds = 0;
    private term = 1;
    private now: Milliseconds = 0;

    constructor(
        seed: number,
        probabilities: FaultProbabilities,
        settings: Partial<OwnershipSettings> = {},
        model: Partial<FaultModel> = {},
    ) {
        this.random = new RandomSource(seed);
        this.probabilities = probabilities;
        this.model = { ...DEFAULTS, ...model };
        this.settings = {
            ...createOwnershipSettings(HOLD_MS, HOLD_MS),
            renewalAuthorityMs: 3_000,
            ...settings,
        };
        const holders = Array.from({ length: SERVERS }, (_, index) => createHolder(`s${index}`));
        holders.forEach(holder => this.start(holder));
        holders.forEach(holder => this.startedAt.set(getHolderName(holder), -Infinity));
        const owners = Array.from({ length: KEYS }, (_, key) => holders[key % SERVERS]!);
        this.row = new UnreliableMapRow(createStripedMap(owners, this.term));
        this.scheduler = this.createScheduler(false);
    }

    /** Violations of the checked invariants. */
    get violations(): readonly string[] {
        return this.checker.violations;
    }

    /** Simulates a period of time. */
    run(duration: Milliseconds): void {
        for (const end = this.now + duration; this.now < end; this.now += STEP_MS) {
            this.injectFaults();
            this.applyWrites();
            if (!this.row.isBusy && this.now >= this.nextWriteAt) {
                this.plan();
            }
            this.send(this.scheduler, true);
            this.retired.filter(({ until }) => this.now < until).forEach(({ scheduler }) =>
                this.send(scheduler, false)
            );
            this.deliver();
            this.check();
        }
    }

    private injectFaults(): void {
        const { crash, cut, handOver, takeover } = this.probabilities;
        if (this.happens(crash)) {
            const server = this.random.pick(this.listUp());
            server.isUp = false;
            this.endedAt.set(server.name, this.now);
            this.start(createHolder(server.holder.id, server.holder.startedAt + 1));
        }
        if (this.happens(cut)) {
            const server = this.random.pick(this.listUp());
            const until = this.now + this.random.nextInteger(4_000);
            this.partitions.set(server.name, {
                until,
                isOneSided: this.model.isOneSided && this.random.nextFraction() < 0.5,
            });
        }
        if (this.happens(takeover)) {
            this.replaceCoordinator(false);
        }
        if (this.happens(handOver)) {
            this.replaceCoordinator(true);
        }
    }

    /** Lets another coordinator take over, from one that stops or from one that goes on renewing grants. */
    private replaceCoordinator(isPlanned: boolean): void {
        const { renewalAuthorityMs } = this.settings;
        const hasChain = this.probabilities.handOver !== undefined;
        const renewing = hasChain ? this.retired.filter(({ until }) => this.now < until) : [];
        if (renewing.length >= MAX_RETIRED) {
            return;
        }
        this.registryLostAt.set(this.scheduler, this.now);
        const last = isPlanned ? [] : [{ scheduler: this.scheduler, until: this.now + renewalAuthorityMs }];
        this.retired = [...renewing, ...last];
        this.term++;
        this.row.takeOver(this.term, () => this.random.nextFraction() < 0.5);
        this.scheduler = this.createScheduler(true);
        this.scheduler.limitPredecessorTime(Math.max(this.now, ...this.retired.map(({ until }) => until)));
    }

    private plan(): void {
        const { bump, join, move } = this.probabilities;
        const up = this.listKnown().map(({ holder }) => holder);
        const reachable = up.filter(holder => !this.scheduler.isUnresponsive(holder, this.now));
        const targets = reachable.length > 0 ? reachable : up;
        const joined = this.happens(join) ? this.random.pick(up) : undefined;
        const firstJoined = joined ? this.random.nextInteger(KEYS - JOINED_RANGES) : 0;
        const changes = this.row.map.ranges.flatMap(({ first, last, owner }) => {
            if (joined && first >= firstJoined && first < firstJoined + JOINED_RANGES) {
                return [{ first, last, owner: joined }];
            }
            const isGone = this.getState(owner) !== "live" || this.scheduler.isUnresponsive(owner, this.now);
            const isMoved = isGone || this.random.nextFraction() < move;
            return isMoved ? [{ first, last, owner: this.random.pick(targets) }] : [];
        });
        const all = changes.length > 0 ? changes : this.scheduler.listRefused();
        if (all.length > 0 || this.happens(bump) || (this.row.hasPendingWrites && this.scheduler.hasFrozen)) {
            const map = this.scheduler.propose(this.term, all, this.now);
            this.row.begin(this.createWrite(map));
        }
    }

    private createWrite(map: KeyMap): MapWrite {
        const dueAt = this.now + this.random.nextInteger(WRITE_MS);
        const write = { map, version: this.row.version, dueAt, endsAt: dueAt, kind: "answered" } as const;
        if (this.happens(this.probabilities.refusal)) {
            return { ...write, kind: "refused" };
        }
        if (this.happens(this.probabilities.lostAnswer)) {
            const isAtOnce = this.random.nextFraction() < 0.5;
            const lateMs = this.random.nextInteger(LATE_MS);
            const endsAt = dueAt + READ_BACK_MS;
            return { ...write, kind: "unanswered", dueAt: isAtOnce ? dueAt : dueAt + lateMs, endsAt };
        }
        return write;
    }

    /** Lets pending writes take effect or end; orders went out meanwhile. */
    private applyWrites(): void {
        const write = this.row.applyWrites(this.now);
        if (!write) {
            return;
        }
        if (write.version !== this.row.version) {
            this.scheduler.commit(this.row.map);
            return;
        }
        this.nextWriteAt = this.now + READ_BACK_MS;
        if (!this.row.hasPendingWrites) {
            this.scheduler.abandon();
        }
    }

    private send(scheduler: OrderScheduler, mayMove: boolean): void {
        for (const order of scheduler.takeDueOrders(this.now, mayMove, KEYS)) {
            const server = this.findCurrent(order.holder);
            const isLate = this.random.nextFraction() < this.probabilities.late;
            const arrivesAt = this.now + 2;
            const appliesAt = isLate ? arrivesAt + this.random.nextInteger(LATE_MS) : arrivesAt;
            const isLost = isLate || this.random.nextFraction() < this.probabilities.lost;
            const isMistaken = this.happens(this.probabilities[`${order.kind}Answer`]);
            const answersAt = this.now + (isLost && !isMistaken ? this.settings.orderTimeoutMs : 4);
            const times = { sentAt: this.now, arrivesAt, appliesAt, answersAt };
            const outcome = getPresetOutcome(order, isMistaken, isLost);
            const state = { isArrived: false, isApplied: false, outcome };
            this.inFlight.push({ order, sender: scheduler, server, ...times, ...state });
        }
    }

    private deliver(): void {
        this.inFlight.forEach(sent => this.arrive(sent));
        for (const sent of this.inFlight) {
            if (!sent.isApplied && sent.isArrived && sent.appliesAt <= this.now) {
                sent.isApplied = true;
                const outcome = this.apply(sent);
                sent.outcome ??= outcome;
            }
        }
        const answered = this.inFlight.filter(({ answersAt, outcome }) => outcome && answersAt <= this.now);
        answered.forEach(({ sender, order, outcome }) => sender.complete(order, outcome!, this.now));
        const done = new Set(answered.filter(({ isApplied }) => isApplied));
        const answeredOnly = new Set(answered);
        this.inFlight = this.inFlight.filter(sent => !done.has(sent)).map(sent =>
            answeredOnly.has(sent) ? { ...sent, answersAt: Infinity } : sent
        ).filter(({ answersAt, isApplied }) => !(isApplied && answersAt === Infinity));
    }

    /** Delivers an order to the server's address; while the server is partitioned, the order waits or is lost in the network. */
    private arrive(sent: InFlightOrder): void {
        if (sent.isArrived || sent.arrivesAt > this.now) {
            return;
        }
        const { dropAfterMs, isAddressReused } = this.model;
        const partition = this.findActive(sent);
        if (dropAfterMs > 0 && partition) {
            const answersAt = sent.sentAt + this.settings.orderTimeoutMs;
            const delay = partition.until - sent.arrivesAt;
            sent.arrivesAt = partition.until;
            sent.appliesAt += delay;
            if (partition.until > answersAt) {
                sent.outcome ??= { kind: "unknown", reason: "given up" };
                sent.answersAt = answersAt;
            }
            sent.isApplied = partition.until > sent.sentAt + dropAfterMs;
            sent.isArrived = sent.isApplied;
            return;
        }
        sent.isArrived = true;
        const current = this.listUp().find(({ holder }) => holder.id === sent.order.holder.id)!;
        // A replaced coordinator opens no connection, and its connections to earlier incarnations have ended with these.
        const mayReach =
            this.startedAt.get(current.name)! <= (this.registryLostAt.get(sent.sender) ?? Infinity);
        if (isAddressReused && !sent.server.isUp && mayReach) {
            sent.server = current;
        }
    }

    private apply({ arrivesAt, sender, order, server }: InFlightOrder): OrderOutcome {
        const isLost = this.model.dropAfterMs === 0 && this.findActive({ sender, server }) !== undefined;
        return server.isUp && !isLost
            ? this.checker.applyOrder(server, order, this.settings.holdMs, arrivesAt, this.now)
            : { kind: "unknown", reason: "unreachable" };
    }

    private findActive({ sender, server }: Pick<InFlightOrder, "sender" | "server">): Partition | undefined {
        const found = this.partitions.get(server.name);
        const isInForce = found && found.until > this.now && (!found.isOneSided || sender === this.scheduler);
        return isInForce ? found : undefined;
    }

    private check(): void {
        for (let key = 0; key < KEYS; key++) {
            this.served += this.checker.check(key, this.servers.values(), this.now) ? 1 : 0;
        }
    }

    private createScheduler(isInherited: boolean): OrderScheduler {
        const scheduler: OrderScheduler = new OrderScheduler(
            this.row.map,
            isInherited,
            this.now,
            this.settings,
            holder => this.getState(holder, scheduler),
            SAME_CLOCK,
        );
        return scheduler;
    }

    /** Returns what a coordinator knows about an incarnation. */
    private getState(holder: KeyHolder, scheduler = this.scheduler): HolderState {
        const { registryLagMs } = this.model;
        const endedAt = this.endedAt.get(getHolderName(holder)) ?? Infinity;
        const seenAt = registryLagMs > 0
            ? Math.min(this.now, this.registryLostAt.get(scheduler) ?? Infinity)
            : this.now;
        if (endedAt + registryLagMs > seenAt) {
            return "live";
        }
        return this.model.isAddressReused ? "replaced" : "dead";
    }

    private start(holder: KeyHolder): void {
        const server = new SimulatedServer(holder, this.random.nextFraction() * 0.02);
        this.servers.set(server.name, server);
        this.startedAt.set(server.name, this.now);
    }

    private happens(probability: number | undefined): boolean {
        return probability !== undefined && this.random.nextFraction() < probability;
    }

    private findCurrent(holder: KeyHolder): SimulatedServer {
        return this.servers.get(getHolderName(holder))!;
    }

    private listUp(): readonly SimulatedServer[] {
        return [...this.servers.values()].filter(({ isUp }) => isUp);
    }

    /** Returns the incarnations that the coordinator knows of and takes for live. */
    private listKnown(): readonly SimulatedServer[] {
        const knownAt = this.now - this.model.registryLagMs;
        return [...this.servers.values()].filter(({ holder, name }) =>
            this.startedAt.get(name)! <= knownAt && this.getState(holder) === "live"
        );
    }
}
