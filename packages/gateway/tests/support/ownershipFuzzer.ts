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
import type { FaultModel } from "./faultModel.js";
import type { FaultProbabilities } from "./faultProbabilities.js";
import type { InFlightOrder } from "./inFlightOrder.js";
import type { MapWrite } from "./mapWrite.js";
import { OwnershipChecker } from "./ownershipChecker.js";
import { SimulatedServer } from "./simulatedServer.js";
import { UnreliableMapRow } from "./unreliableMapRow.js";

const STEP_MS = 20;
const HOLD_MS = 2_000;
const LATE_MS = 4_000;
const WRITE_MS = 200;
const KEYS = 8;
const SERVERS = 4;

/** A coordinator that was replaced may be among this many that go on renewing. */
const RETIRED_LIMIT = 3;
const JOINED_RANGES = 3;
/** What is tried again after a write whose answer was lost was not found in the store. */
const READ_BACK_MS = 150;

const USUAL: FaultModel = { dropAfterMs: 0, isAddressReused: false, registryLagMs: 0, isOneSided: false };

/** A server that is cut off; from the newest coordinator only, or from all. */
type Cut = { readonly until: Milliseconds; readonly isOneSided: boolean; };

/**
 * A seeded walk of one coordinator after the other over a few servers: orders are lost, carried out late or cut off, servers crash and
 * start anew, coordinators are replaced while those before go on renewing. Judges in each step who holds which key.
 */
export class OwnershipFuzzer {
    served = 0;
    private readonly judge = new OwnershipChecker();
    private readonly random: RandomSource;
    private readonly odds: FaultProbabilities;
    private readonly settings: OwnershipSettings;
    private readonly world: FaultModel;
    private readonly servers = new Map<string, SimulatedServer>();
    private readonly cuts = new Map<string, Cut>();
    /** When each life began, and when it ended. */
    private readonly startedAt = new Map<string, Milliseconds>();
    private readonly endedAt = new Map<string, Milliseconds>();
    /** When each coordinator that was replaced ceased to learn of the registry. */
    private readonly blindSince = new Map<OrderScheduler, Milliseconds>();
    private flights: InFlightOrder[] = [];
    private readonly row: UnreliableMapRow;
    private keeper: OrderScheduler;
    private retired: { readonly keeper: OrderScheduler; readonly until: Milliseconds; }[] = [];
    private nextWriteAt: Milliseconds = 0;
    private term = 1;
    private now: Milliseconds = 0;

    constructor(
        seed: number,
        odds: FaultProbabilities,
        settings: Partial<OwnershipSettings> = {},
        world: Partial<FaultModel> = {},
    ) {
        this.random = new RandomSource(seed);
        this.odds = odds;
        this.world = { ...USUAL, ...world };
        this.settings = {
            ...createOwnershipSettings(HOLD_MS, HOLD_MS),
            renewalAuthorityMs: 3_000,
            ...settings,
        };
        const holders = Array.from({ length: SERVERS }, (_, index) => createHolder(`s${index}`));
        holders.forEach(holder => this.start(holder));
        holders.forEach(holder => this.startedAt.set(getHolderName(holder), -Infinity));
        const ranges = Array.from({ length: KEYS }, (_, key) => ({
            first: key,
            last: key,
            owner: holders[key % SERVERS]!,
            fence: 1,
            previous: [],
        }));
        this.row = new UnreliableMapRow({ term: 1, fence: 1, ranges });
        this.keeper = this.newKeeper(false);
    }

    /** What was judged wrong. */
    get violations(): readonly string[] {
        return this.judge.violations;
    }

    /** Walks for a time. */
    run(duration: Milliseconds): void {
        for (const end = this.now + duration; this.now < end; this.now += STEP_MS) {
            this.trouble();
            this.land();
            if (!this.row.isBusy && this.now >= this.nextWriteAt) {
                this.plan();
            }
            this.send(this.keeper, true);
            this.retired.filter(({ until }) => this.now < until).forEach(({ keeper }) =>
                this.send(keeper, false)
            );
            this.deliver();
            this.check();
        }
    }

    private trouble(): void {
        const { crash, cut, handOver, takeover } = this.odds;
        if (this.happens(crash)) {
            const server = this.random.pick(this.listUp());
            server.isUp = false;
            this.endedAt.set(server.name, this.now);
            this.start(createHolder(server.holder.id, server.holder.startedAt + 1));
        }
        if (this.happens(cut)) {
            const server = this.random.pick(this.listUp());
            const until = this.now + this.random.nextInteger(4_000);
            this.cuts.set(server.name, {
                until,
                isOneSided: this.world.isOneSided && this.random.nextFraction() < 0.5,
            });
        }
        if (this.happens(takeover)) {
            this.replace(false);
        }
        if (this.happens(handOver)) {
            this.replace(true);
        }
    }

    /** Another coordinator takes over, from one that stops or from one that goes on renewing. */
    private replace(isPlanned: boolean): void {
        const { renewalAuthorityMs } = this.settings;
        const hasChain = this.odds.handOver !== undefined;
        const renewing = hasChain ? this.retired.filter(({ until }) => this.now < until) : [];
        if (renewing.length >= RETIRED_LIMIT) {
            return;
        }
        this.blindSince.set(this.keeper, this.now);
        const last = isPlanned ? [] : [{ keeper: this.keeper, until: this.now + renewalAuthorityMs }];
        this.retired = [...renewing, ...last];
        this.term++;
        this.row.takeOver(this.term, () => this.random.nextFraction() < 0.5);
        this.keeper = this.newKeeper(true);
        this.keeper.limitPredecessorTime(Math.max(this.now, ...this.retired.map(({ until }) => until)));
    }

    private plan(): void {
        const { bump, join, move } = this.odds;
        const up = this.listKnown().map(({ holder }) => holder);
        const reachable = up.filter(holder => !this.keeper.isUnresponsive(holder, this.now));
        const targets = reachable.length > 0 ? reachable : up;
        const joined = this.happens(join) ? this.random.pick(up) : undefined;
        const firstJoined = joined ? this.random.nextInteger(KEYS - JOINED_RANGES) : 0;
        const changes = this.row.map.ranges.flatMap(({ first, last, owner }) => {
            if (joined && first >= firstJoined && first < firstJoined + JOINED_RANGES) {
                return [{ first, last, owner: joined }];
            }
            const mustLeave = this.getState(owner) !== "live" || this.keeper.isUnresponsive(owner, this.now);
            const isMoved = mustLeave || this.random.nextFraction() < move;
            return isMoved ? [{ first, last, owner: this.random.pick(targets) }] : [];
        });
        const all = changes.length > 0 ? changes : this.keeper.listRefused();
        if (all.length > 0 || this.happens(bump) || (this.row.hasPendingWrites && this.keeper.hasFrozen)) {
            const map = this.keeper.propose(this.term, all, this.now);
            this.row.begin(this.newWrite(map));
        }
    }

    private newWrite(map: KeyMap): MapWrite {
        const takesEffectAt = this.now + this.random.nextInteger(WRITE_MS);
        const write = {
            map,
            version: this.row.version,
            takesEffectAt,
            endsAt: takesEffectAt,
            kind: "answered",
        } as const;
        if (this.happens(this.odds.refusal)) {
            return { ...write, kind: "refused" };
        }
        if (this.happens(this.odds.lostAnswer)) {
            const isAtOnce = this.random.nextFraction() < 0.5;
            const lateMs = this.random.nextInteger(LATE_MS);
            const endsAt = takesEffectAt + READ_BACK_MS;
            return {
                ...write,
                kind: "unanswered",
                takesEffectAt: isAtOnce ? takesEffectAt : takesEffectAt + lateMs,
                endsAt,
            };
        }
        return write;
    }

    /** Writes that are under way take effect or end; orders went out meanwhile. */
    private land(): void {
        const write = this.row.applyWrites(this.now);
        if (!write) {
            return;
        }
        if (write.version !== this.row.version) {
            this.keeper.commit(this.row.map);
            return;
        }
        this.nextWriteAt = this.now + READ_BACK_MS;
        if (!this.row.hasPendingWrites) {
            this.keeper.abandon();
        }
    }

    private send(keeper: OrderScheduler, mayMove: boolean): void {
        for (const order of keeper.takeDueOrders(this.now, mayMove, KEYS)) {
            const server = this.findCurrent(order.holder);
            const isLate = this.random.nextFraction() < this.odds.late;
            const arrivesAt = this.now + 2;
            const appliesAt = isLate ? arrivesAt + this.random.nextInteger(LATE_MS) : arrivesAt;
            const isLost = isLate || this.random.nextFraction() < this.odds.lost;
            const answersAt = this.now + (isLost ? this.settings.orderTimeoutMs : 4);
            this.flights.push({
                order,
                keeper,
                server,
                sentAt: this.now,
                arrivesAt,
                appliesAt,
                isArrived: false,
                isApplied: false,
                outcome: isLost ? { kind: "unknown", reason: "lost" } : undefined,
                answersAt,
            });
        }
    }

    private deliver(): void {
        this.flights.forEach(flight => this.arrive(flight));
        for (const flight of this.flights) {
            if (!flight.isApplied && flight.isArrived && flight.appliesAt <= this.now) {
                flight.isApplied = true;
                const outcome = this.apply(flight);
                flight.outcome ??= outcome;
            }
        }
        const answered = this.flights.filter(({ answersAt, outcome }) => outcome && answersAt <= this.now);
        answered.forEach(({ keeper, order, outcome }) => keeper.complete(order, outcome!, this.now));
        const done = new Set(answered.filter(({ isApplied }) => isApplied));
        const answeredOnly = new Set(answered);
        this.flights = this.flights.filter(flight => !done.has(flight)).map(flight =>
            answeredOnly.has(flight) ? { ...flight, answersAt: Infinity } : flight
        ).filter(({ answersAt, isApplied }) => !(isApplied && answersAt === Infinity));
    }

    /** An order reaches the server's address, or waits or is lost in the network while the server is cut off. */
    private arrive(flight: InFlightOrder): void {
        if (flight.isArrived || flight.arrivesAt > this.now) {
            return;
        }
        const { dropAfterMs, isAddressReused } = this.world;
        const cut = this.findCut(flight);
        if (dropAfterMs > 0 && cut) {
            const answersAt = flight.sentAt + this.settings.orderTimeoutMs;
            const delay = cut.until - flight.arrivesAt;
            flight.arrivesAt = cut.until;
            flight.appliesAt += delay;
            if (cut.until > answersAt) {
                flight.outcome ??= { kind: "unknown", reason: "given up" };
                flight.answersAt = answersAt;
            }
            flight.isApplied = cut.until > flight.sentAt + dropAfterMs;
            flight.isArrived = flight.isApplied;
            return;
        }
        flight.isArrived = true;
        if (isAddressReused && !flight.server.isUp) {
            flight.server = this.listUp().find(({ holder }) => holder.id === flight.order.holder.id)!;
        }
    }

    private apply({ arrivesAt, keeper, order, server }: InFlightOrder): OrderOutcome {
        const isCut = this.world.dropAfterMs === 0 && this.findCut({ keeper, server }) !== undefined;
        return server.isUp && !isCut
            ? this.judge.applyOrder(server, order, this.settings.holdMs, arrivesAt, this.now)
            : { kind: "unknown", reason: "unreachable" };
    }

    private findCut({ keeper, server }: Pick<InFlightOrder, "keeper" | "server">): Cut | undefined {
        const cut = this.cuts.get(server.name);
        const isInForce = cut && cut.until > this.now && (!cut.isOneSided || keeper === this.keeper);
        return isInForce ? cut : undefined;
    }

    private check(): void {
        for (let key = 0; key < KEYS; key++) {
            this.served += this.judge.check(key, this.servers.values(), this.now) ? 1 : 0;
        }
    }

    private newKeeper(isInherited: boolean): OrderScheduler {
        const keeper: OrderScheduler = new OrderScheduler(
            this.row.map,
            isInherited,
            this.now,
            this.settings,
            holder => this.getState(holder, keeper),
        );
        return keeper;
    }

    /** What a coordinator knows of a life. */
    private getState(holder: KeyHolder, keeper = this.keeper): HolderState {
        const { registryLagMs } = this.world;
        const endedAt = this.endedAt.get(getHolderName(holder)) ?? Infinity;
        const seenAt = registryLagMs > 0
            ? Math.min(this.now, this.blindSince.get(keeper) ?? Infinity)
            : this.now;
        if (endedAt + registryLagMs > seenAt) {
            return "live";
        }
        return this.world.isAddressReused ? "replaced" : "dead";
    }

    private start(holder: KeyHolder): void {
        const server = new SimulatedServer(holder, this.random.nextFraction() * 0.02);
        this.servers.set(server.name, server);
        this.startedAt.set(server.name, this.now);
    }

    private happens(odds: number | undefined): boolean {
        return odds !== undefined && this.random.nextFraction() < odds;
    }

    private findCurrent(holder: KeyHolder): SimulatedServer {
        return this.servers.get(getHolderName(holder))!;
    }

    private listUp(): readonly SimulatedServer[] {
        return [...this.servers.values()].filter(({ isUp }) => isUp);
    }

    /** Lives that the coordinator knows of and takes for live. */
    private listKnown(): readonly SimulatedServer[] {
        const knownAt = this.now - this.world.registryLagMs;
        return [...this.servers.values()].filter(({ holder, name }) =>
            this.startedAt.get(name)! <= knownAt && this.getState(holder) === "live"
        );
    }
}
