import { type Milliseconds, RandomSource } from "@arbutusdoor/common";
import { newOwnershipSettings } from "../../src/host/newOwnershipSettings.js";
import type { OrderOutcome } from "../../src/orders/orderOutcome.js";
import { getHolderName } from "../../src/ownership/getHolderName.js";
import type { HolderState } from "../../src/ownership/holderState.js";
import type { KeyHolder } from "../../src/ownership/keyHolder.js";
import type { KeyMap } from "../../src/ownership/keyMap.js";
import type { KeyOrder } from "../../src/ownership/keyOrder.js";
import type { OwnershipSettings } from "../../src/ownership/ownershipSettings.js";
import { RangeKeeper } from "../../src/ownership/rangeKeeper.js";
import { newHolder } from "./newHolder.js";
import { ServerModel } from "./serverModel.js";

const STEP_MS = 20;
const HOLD_MS = 2_000;
const LATE_MS = 4_000;
const WRITE_MS = 200;
const KEYS = 8;
const SERVERS = 4;

/** Odds of each trouble in a step. */
type Odds = {
    readonly lost: number;
    readonly late: number;
    readonly crash: number;
    readonly cut: number;
    readonly takeover: number;
    readonly move: number;
};

/** An order on its way. */
type Flight = {
    readonly order: KeyOrder;
    readonly keeper: RangeKeeper;
    readonly server: ServerModel;
    readonly arrivesAt: Milliseconds;
    readonly appliesAt: Milliseconds;
    isApplied: boolean;
    outcome: OrderOutcome | undefined;
    readonly answersAt: Milliseconds;
};

/**
 * A seeded walk of one coordinator after the other over a few servers: orders are lost, carried out late or cut off, servers crash and
 * start anew, coordinators are replaced while the one before goes on renewing. Checks in each step that no key has two holders.
 */
export class OwnershipWalk {
    readonly faults: string[] = [];
    served = 0;
    private readonly random: RandomSource;
    private readonly odds: Odds;
    private readonly settings: OwnershipSettings;
    private readonly servers = new Map<string, ServerModel>();
    private readonly cutUntil = new Map<string, Milliseconds>();
    private flights: Flight[] = [];
    private committed: KeyMap;
    private keeper: RangeKeeper;
    private retired: { readonly keeper: RangeKeeper; readonly until: Milliseconds; }[] = [];
    private write: { readonly map: KeyMap; readonly landsAt: Milliseconds; } | undefined;
    private term = 1;
    private now: Milliseconds = 0;

    constructor(seed: number, odds: Odds, settings: Partial<OwnershipSettings> = {}) {
        this.random = new RandomSource(seed);
        this.odds = odds;
        this.settings = { ...newOwnershipSettings(HOLD_MS, HOLD_MS), renewalAuthorityMs: 3_000, ...settings };
        const holders = Array.from({ length: SERVERS }, (_, index) => newHolder(`s${index}`));
        holders.forEach(holder => this.start(holder));
        const ranges = Array.from({ length: KEYS }, (_, key) => ({
            first: key,
            last: key,
            owner: holders[key % SERVERS]!,
            fence: 1,
            previous: [],
        }));
        this.committed = { term: 1, fence: 1, ranges };
        this.keeper = this.newKeeper(false);
    }

    /** Walks for a time. */
    run(duration: Milliseconds): void {
        for (const end = this.now + duration; this.now < end; this.now += STEP_MS) {
            this.trouble();
            this.land();
            if (!this.write) {
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
        const { crash, cut, takeover } = this.odds;
        if (this.random.nextFraction() < crash) {
            const server = this.random.pick(this.listUp());
            server.isUp = false;
            this.start(newHolder(server.holder.id, server.holder.startedAt + 1));
        }
        if (this.random.nextFraction() < cut) {
            const server = this.random.pick(this.listUp());
            this.cutUntil.set(getHolderName(server.holder), this.now + this.random.nextInteger(4_000));
        }
        if (this.random.nextFraction() < takeover) {
            this.retired = [{ keeper: this.keeper, until: this.now + this.settings.renewalAuthorityMs }];
            this.term++;
            // A write that was under way took effect before the next coordinator wrote, or never will.
            if (this.write && this.random.nextFraction() < 0.5) {
                this.committed = this.write.map;
            }
            this.write = undefined;
            this.committed = { ...this.committed, term: this.term };
            this.keeper = this.newKeeper(true);
        }
    }

    private plan(): void {
        const up = this.listUp().map(({ holder }) => holder);
        const reachable = up.filter(holder => !this.keeper.isSilent(holder, this.now));
        const targets = reachable.length > 0 ? reachable : up;
        const changes = this.committed.ranges.flatMap(({ first, last, owner }) => {
            const mustLeave = this.getState(owner) === "dead" || this.keeper.isSilent(owner, this.now);
            const isMoved = mustLeave || this.random.nextFraction() < this.odds.move;
            return isMoved ? [{ first, last, owner: this.random.pick(targets) }] : [];
        });
        const all = changes.length > 0 ? changes : this.keeper.listRefused();
        if (all.length > 0) {
            const map = this.keeper.propose(this.term, all, this.now);
            this.write = { map, landsAt: this.now + this.random.nextInteger(WRITE_MS) };
        }
    }

    /** The write that is under way is committed; orders went out meanwhile. */
    private land(): void {
        if (this.write && this.write.landsAt <= this.now) {
            this.committed = this.write.map;
            this.write = undefined;
            this.keeper.commit(this.committed);
        }
    }

    private send(keeper: RangeKeeper, mayMove: boolean): void {
        for (const order of keeper.takeDue(this.now, mayMove, KEYS)) {
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
                arrivesAt,
                appliesAt,
                isApplied: false,
                outcome: isLost ? { kind: "unknown", reason: "lost" } : undefined,
                answersAt,
            });
        }
    }

    private deliver(): void {
        for (const flight of this.flights) {
            const isCut = (this.cutUntil.get(getHolderName(flight.server.holder)) ?? 0) > this.now;
            if (!flight.isApplied && flight.appliesAt <= this.now) {
                flight.isApplied = true;
                const isNamed = flight.server.holder.startedAt === flight.order.holder.startedAt;
                const canApply = flight.server.isUp && isNamed && !isCut;
                const outcome: OrderOutcome = canApply
                    ? flight.server.apply(flight.order, this.settings.holdMs, flight.arrivesAt)
                    : { kind: "unknown", reason: "unreachable" };
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

    private check(): void {
        for (let key = 0; key < KEYS; key++) {
            const holders = [...this.servers.values()].filter(server => server.isHolding(key, this.now));
            this.served += holders.length > 0 ? 1 : 0;
            if (holders.length > 1) {
                const names = holders.map(({ holder }) => getHolderName(holder)).join(" and ");
                this.faults.push(`${this.now} ms: key ${key} is held by ${names}`);
            }
        }
    }

    private newKeeper(isInherited: boolean): RangeKeeper {
        return new RangeKeeper(
            this.committed,
            isInherited,
            this.now,
            this.settings,
            holder => this.getState(holder),
        );
    }

    private getState(holder: KeyHolder): HolderState {
        return this.servers.get(getHolderName(holder))?.isUp ? "live" : "dead";
    }

    private start(holder: KeyHolder): void {
        this.servers.set(getHolderName(holder), new ServerModel(holder, this.random.nextFraction() * 0.02));
    }

    private findCurrent(holder: KeyHolder): ServerModel {
        return this.servers.get(getHolderName(holder))!;
    }

    private listUp(): readonly ServerModel[] {
        return [...this.servers.values()].filter(({ isUp }) => isUp);
    }
}
