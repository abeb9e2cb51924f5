import type { Milliseconds } from "@arbutusdoor/common";
import type { KeyRange } from "../orders/keyRange.js";
import { CoordinationTerm } from "./coordinationTerm.js";
import { describeInheritance } from "./describeInheritance.js";
import { FirstGrantLog } from "./firstGrantLog.js";
import { getHolderName } from "./getHolderName.js";
import { InitialAssignment } from "./initialAssignment.js";
import { KeyBalance } from "./keyBalance.js";
import type { KeyHolder } from "./keyHolder.js";
import type { KeyMap } from "./keyMap.js";
import { KeyMapStore } from "./keyMapStore.js";
import type { KeyOrder } from "./keyOrder.js";
import { KeyRestoration } from "./keyRestoration.js";
import { listHolders } from "./listHolders.js";
import { OrderDispatch } from "./orderDispatch.js";
import { OrderScheduler } from "./orderScheduler.js";
import { planEvacuation } from "./planEvacuation.js";
import { planJoins } from "./planJoins.js";
import { planRelocation } from "./planRelocation.js";
import type { RangeChange } from "./rangeChange.js";
import type { RebalancePlan } from "./rebalancePlan.js";
import type { ServiceCoordinatorParts } from "./serviceCoordinatorParts.js";
import { ServiceServers } from "./serviceServers.js";
import { WaitingRangeLog } from "./waitingRangeLog.js";

/** Maximum number of renewals sent in one tick; more would block the loop for tens of milliseconds. */
const RENEWALS_PER_TICK = 24;
/**
 * Maximum number of first grants, and of releases, sent in one tick. The runtime accepts one connection a port in each turn of its loop, so
 * long turns keep callers and other hosts waiting; an order takes a cold coordinator up to 1 ms of processor time.
 */
const MOVES_PER_TICK = 10;
const REBALANCE_MS = 400;
/** Interval at which holders to probe are looked for; each search scans the whole map. */
const PROBE_CHECK_MS = 500;
const NO_ANSWER = { kind: "unknown", reason: "no answer" } as const;
/** Delay after a failed write. */
const WRITE_RETRY_MS = 150;

/** Coordinates the keys of one service: commits maps to the store, then sends the orders that follow from them. */
export class ServiceCoordinator {
    private readonly parts: ServiceCoordinatorParts;
    private readonly balance: KeyBalance;
    private readonly initial: InitialAssignment;
    private readonly servers: ServiceServers;
    private scheduler: OrderScheduler | undefined;
    private readonly term: CoordinationTerm;
    private readonly restoration: KeyRestoration;
    private readonly store: KeyMapStore;
    private readonly dispatch: OrderDispatch;
    private readonly firstGrants: FirstGrantLog;
    private readonly waiting: WaitingRangeLog;
    private isBusy = false;
    private nextWriteAt: Milliseconds = -Infinity;
    private nextProbeAt: Milliseconds = -Infinity;
    private nextRebalanceAt: Milliseconds = -Infinity;
    private held: [number, number][] = [];

    constructor(parts: ServiceCoordinatorParts) {
        this.parts = parts;
        this.initial = new InitialAssignment(parts.stripeKeys);
        this.servers = new ServiceServers(parts);
        this.term = new CoordinationTerm(parts);
        this.store = new KeyMapStore(parts);
        this.dispatch = new OrderDispatch(parts);
        const { dispatch, store, term } = this;
        const write = (map: KeyMap) => this.write(map);
        this.restoration = new KeyRestoration({ coordinator: parts, term, store, dispatch, write });
        this.firstGrants = new FirstGrantLog(parts.service, parts.logger);
        this.waiting = new WaitingRangeLog(parts.service, parts.logger);
        this.balance = new KeyBalance(parts.rebalance, parts.clock.now());
    }

    /** The number of ranges that wait for an earlier owner. */
    get waitingRanges(): number {
        return this.waiting.count;
    }

    /** Returns the ranges with earlier owners whose owner has confirmed its grant: first key and fencing token. */
    listHeld(): readonly (readonly [number, number])[] {
        const { scheduler } = this;
        return (scheduler?.map.ranges ?? [])
            .filter(range => range.previous.length > 0 && scheduler!.isHeld(range))
            .map(({ fence, first }) => [first, fence]);
    }

    /** Counts requests for a key. */
    recordLoad(key: number, requests: number): void {
        this.balance.recordLoad(key, requests);
    }

    /** Makes the grant of a key due, since its owner was found not to hold the key. */
    renewSoon(key: number): void {
        this.scheduler?.renewSoon(key, this.parts.clock.now());
    }

    /** Updates the time until which predecessors may renew grants. */
    updatePredecessorTime(): void {
        const ends = this.parts.getPredecessors().map(({ renewsUntil }) => renewsUntil);
        this.scheduler?.limitPredecessorTime(Math.max(this.parts.clock.now(), ...ends));
    }

    /** Continues in a new era of the store: no other host has coordinated since this one last committed a map. */
    resume(term: number): void {
        this.term.change(term);
        this.restoration.resume(this.scheduler !== undefined);
    }

    /** Sends the orders that are due and commits the changes that are needed. */
    tick(mayMove: boolean): void {
        const now = this.parts.clock.now();
        this.servers.recordStoreContact(this.parts.lease.storeContactAge, now);
        const { scheduler } = this;
        if (scheduler) {
            const mayMoveKeys = mayMove && !this.restoration.mustWriteBack;
            const due = scheduler.takeDueOrders(now, mayMoveKeys, RENEWALS_PER_TICK, MOVES_PER_TICK);
            due.forEach(order => void this.send(scheduler, order));
            this.firstGrants.add(due, now);
            this.waiting.review(time => scheduler.listWaiting(time), now);
        }
        this.firstGrants.flush(now);
        if (mayMove) {
            this.restoration.releaseAll(now);
        }
        if (mayMove && now >= this.nextProbeAt) {
            this.nextProbeAt = now + PROBE_CHECK_MS;
            scheduler?.takeProbes(now).forEach(order => void this.probe(scheduler, order));
        }
        if (mayMove && !this.isBusy && now >= this.nextWriteAt) {
            void this.runNextStep(now);
        }
        this.announceHeld();
    }

    private async runNextStep(now: Milliseconds): Promise<void> {
        this.isBusy = true;
        if (this.restoration.isRebuilding) {
            const rebuilt = await this.restoration.finish(now);
            const scheduler = rebuilt && this.createScheduler(rebuilt.map, false, this.parts.clock.now());
            // They count as unresponsive at once: a grant to one of them would have to expire first.
            const since = now - this.parts.settings.unresponsiveAfterMs;
            rebuilt?.unanswered.forEach(order => scheduler?.completeProbe(order, NO_ANSWER, since));
            this.scheduler = scheduler;
        }
        else if (!this.scheduler) {
            await this.takeOver(now);
        }
        else if (this.restoration.mustWriteBack) {
            const isNewest = await this.restoration.writeBack(this.scheduler);
            this.nextWriteAt = this.parts.clock.now() + WRITE_RETRY_MS;
            this.scheduler = isNewest ? this.scheduler : undefined;
        }
        else if (this.scheduler.map.ranges.length === 0) {
            await this.assignKeys(now);
        }
        else {
            await this.commitChanges(this.scheduler, now);
        }
        this.isBusy = false;
    }

    /**
     * Reads the committed map and writes it back under this coordinator's term, so that no write of a predecessor can take effect later.
     */
    private async takeOver(now: Milliseconds): Promise<void> {
        const { value: term } = this.term;
        const { clock, logger, service } = this.parts;
        const committed = await this.store.read(this.term.era);
        if (!committed || this.term.isOutdated(term)) {
            this.nextWriteAt = now + WRITE_RETRY_MS;
            return;
        }
        if (this.restoration.mustRebuild(committed)) {
            this.nextWriteAt = now + WRITE_RETRY_MS;
            await this.restoration.begin(committed, now);
            return;
        }
        const map = { ...committed, term };
        if (await this.write(map)) {
            const takenAt = clock.now();
            this.scheduler = this.createScheduler(map, committed.ranges.length > 0, takenAt);
            this.updatePredecessorTime();
            const inherited = describeInheritance(this.scheduler, this.parts.getPredecessors(), takenAt);
            logger.log("keysInherited", { service, ...inherited });
        }
    }

    private async assignKeys(now: Milliseconds): Promise<void> {
        const { logger, service } = this.parts;
        const servers = this.servers.list();
        const fence = this.term.getNextFence(this.scheduler!.map);
        const receivers = this.servers.selectReceivers(servers);
        const map = fence === undefined
            ? undefined
            : this.initial.create(receivers, this.term.value, fence, now);
        if (map && await this.write(map)) {
            this.scheduler = this.createScheduler(map, false, this.parts.clock.now());
            logger.log("keysLaidOut", { service, fence, ranges: map.ranges.length, servers: servers.length });
        }
    }

    private async commitChanges(scheduler: OrderScheduler, now: Milliseconds): Promise<void> {
        const { logger, metrics, service } = this.parts;
        const { cause, changes, ...figures } = this.plan(scheduler, now);
        if (changes.length === 0 && !scheduler.needsCommit) {
            return;
        }
        const fence = this.term.getNextFence(scheduler.map);
        if (fence === undefined) {
            return;
        }
        const map = scheduler.propose(this.term.value, changes, now, fence);
        if (await this.write(map)) {
            scheduler.commit(map);
            if (cause === "load") {
                this.balance.recordCommit(changes, figures.hotMoves ?? 0, now);
            }
            metrics.count("arbutusdoor_key_ranges_moved_total", { service, cause }, changes.length);
            logger.log("keysReassigned", {
                service,
                fence: map.fence,
                ranges: changes.length,
                keys: changes.reduce((total, { first, last }) => total + last - first + 1, 0),
                cause,
                ...figures,
            });
        }
    }

    /**
     * Plans the next changes, in order of precedence: keys whose owner cannot keep them, refused grants, keys of cold owners and evacuated
     * data centres, shares of new servers, load balance.
     */
    private plan(
        scheduler: OrderScheduler,
        now: Milliseconds,
    ): { readonly cause: string; readonly changes: readonly RangeChange[]; } & Partial<RebalancePlan> {
        const leaving = new Set(
            scheduler.owners
                .filter(owner => this.servers.mustLeave(owner, scheduler.isUnresponsive(owner, now), now))
                .map(getHolderName),
        );
        const isDue = now >= this.nextRebalanceAt;
        if (leaving.size === 0 && !scheduler.hasRefused && !isDue) {
            return { cause: "none", changes: [] };
        }
        const available = this.servers.list().filter(({ holder }) => scheduler.mayReceive(holder, now));
        const servers = this.servers.selectReceivers(available);
        const getLoad = (range: KeyRange) => this.balance.getLoad(range);
        if (leaving.size > 0) {
            const mustLeave = (owner: KeyHolder) => leaving.has(getHolderName(owner));
            return { cause: "owners", changes: planEvacuation(scheduler.map, servers, mustLeave, getLoad) };
        }
        if (scheduler.hasRefused) {
            return { cause: "fences", changes: scheduler.listRefused() };
        }
        this.nextRebalanceAt = now + REBALANCE_MS;
        this.balance.update(now);
        const relocated = planRelocation(scheduler.map, servers, this.parts.placement, getLoad);
        if (relocated.length > 0) {
            return { cause: "relocated", changes: relocated };
        }
        const joins = planJoins(scheduler.map, servers);
        return joins.length > 0
            ? { cause: "joined", changes: joins }
            : {
                cause: "load",
                ...this.balance.plan(scheduler.map, servers, range => scheduler.isHeld(range), now),
            };
    }

    private async write(map: KeyMap): Promise<boolean> {
        const { value: term } = this.term;
        const outcome = await this.store.write(map);
        if (this.term.isOutdated(term)) {
            // The store was restored: whether the write took effect says nothing any more.
            return false;
        }
        if (outcome === "committed") {
            return this.parts.isCurrent();
        }
        this.nextWriteAt = this.parts.clock.now() + WRITE_RETRY_MS;
        if (outcome === "replaced") {
            await this.readBack();
        }
        else {
            this.scheduler?.abandon();
        }
        return false;
    }

    private async readBack(): Promise<void> {
        const { value: term } = this.term;
        const before = this.store.version;
        const committed = await this.store.read(this.term.era);
        if (!committed || this.store.version === before || this.term.isOutdated(term)) {
            return;
        }
        if (committed.term === term && this.scheduler) {
            // The write whose answer was lost has taken effect.
            this.scheduler.commit(committed);
            this.store.announce(committed);
        }
        else {
            this.scheduler = undefined;
        }
    }

    private async send(scheduler: OrderScheduler, order: KeyOrder): Promise<void> {
        const outcome = await this.dispatch.send(order, () => this.isInUse(scheduler));
        const held = outcome && scheduler.complete(order, outcome, this.parts.clock.now());
        if (held) {
            this.held.push([held.first, held.fence]);
        }
    }

    private async probe(scheduler: OrderScheduler, order: KeyOrder): Promise<void> {
        const outcome = await this.dispatch.send(order, () => this.isInUse(scheduler));
        if (outcome) {
            scheduler.completeProbe(order, outcome, this.parts.clock.now());
        }
    }

    private isInUse(scheduler: OrderScheduler): boolean {
        return this.parts.isCurrent() && this.scheduler === scheduler;
    }

    private announceHeld(): void {
        if (this.held.length > 0) {
            this.parts.onHeld(this.parts.service, this.held);
            this.held = [];
        }
    }

    private createScheduler(map: KeyMap, isInherited: boolean, now: Milliseconds): OrderScheduler {
        const { lease, liveness, settings } = this.parts;
        liveness.recordInherited(isInherited ? listHolders(map) : []);
        return new OrderScheduler(
            map,
            isInherited,
            now,
            settings,
            holder => liveness.getState(holder),
            lease,
        );
    }
}
