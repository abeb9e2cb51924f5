import type { Milliseconds } from "@arbutusdoor/common";
import type { OrderOutcome } from "../orders/orderOutcome.js";
import { applyChanges } from "./applyChanges.js";
import { createInheritedProgress } from "./createInheritedProgress.js";
import { createProbes } from "./createProbes.js";
import { delayLastGrants } from "./delayLastGrants.js";
import { findRange } from "./findRange.js";
import { findStopProof } from "./findStopProof.js";
import { getHolderName } from "./getHolderName.js";
import { getLastGrantTime } from "./getLastGrantTime.js";
import { getRenewalFactor } from "./getRenewalFactor.js";
import { GrantWindow } from "./grantWindow.js";
import { HolderReachability } from "./holderReachability.js";
import type { HolderState } from "./holderState.js";
import { isSameHolder } from "./isSameHolder.js";
import type { KeyHolder } from "./keyHolder.js";
import type { KeyMap } from "./keyMap.js";
import type { KeyOrder } from "./keyOrder.js";
import { listHolders } from "./listHolders.js";
import { listOwners } from "./listOwners.js";
import { OrderQuota } from "./orderQuota.js";
import type { OwnedRange } from "./ownedRange.js";
import type { OwnershipSettings } from "./ownershipSettings.js";
import { PendingGrants } from "./pendingGrants.js";
import { pickLongestWaiting } from "./pickLongestWaiting.js";
import type { RangeChange } from "./rangeChange.js";
import type { RangeProgress } from "./rangeProgress.js";
import { recordOutcome } from "./recordOutcome.js";
import type { StopProof } from "./stopProof.js";
import type { StoreTimeScale } from "./storeTimeScale.js";
import { updateProgress } from "./updateProgress.js";
import type { WaitingRange } from "./waitingRange.js";

/** A range whose owner has confirmed its grant. */
type HeldRange = { readonly first: number; readonly fence: number; };

/**
 * Decides which orders are due for the keys of one service. It sends nothing itself and depends only on the committed map, the outcomes of
 * orders and the time that is passed in.
 *
 * A range is granted to its owner once every earlier owner has stopped: it has answered a release under the owner's fencing token (after
 * which it also refuses late grants with lower tokens), is proved dead, or the last grant that may have reached it has expired.
 */
export class OrderScheduler {
    private readonly settings: OwnershipSettings;
    private readonly getState: (holder: KeyHolder) => HolderState;
    private readonly scale: StoreTimeScale;
    private committed: KeyMap;
    private distinctOwners: readonly KeyHolder[];
    private progress = new Map<number, RangeProgress>();
    /** Ranges that get no grant until a proposal has ended, by first key, with the stop proof of the owner that loses the range, if any. */
    private readonly frozen = new Map<number, StopProof | undefined>();
    private readonly refused = new Set<number>();
    /** First keys of ranges that callers ask for and whose owners do not hold them: these are granted first. */
    private readonly requested = new Set<number>();
    private readonly window = new GrantWindow();
    private readonly pending = new PendingGrants();
    /** Whether the map lacks the time of an earlier owner's last grant, whose outcome became known after the commit. */
    private hasUndatedOwner = false;
    private readonly reachability: HolderReachability;
    /** Until then a predecessor may have sent grants to the holders in its map. */
    private inheritedUntil: Milliseconds;

    /**
     * @param isInherited whether a predecessor may have sent grants of this map
     * @param getState returns what is known about a holder now
     * @param scale converts the times in the map
     */
    constructor(
        map: KeyMap,
        isInherited: boolean,
        now: Milliseconds,
        settings: OwnershipSettings,
        getState: (holder: KeyHolder) => HolderState,
        scale: StoreTimeScale,
    ) {
        this.settings = settings;
        this.getState = getState;
        this.scale = scale;
        this.committed = map;
        this.distinctOwners = listOwners(map);
        this.inheritedUntil = isInherited ? now + settings.renewalAuthorityMs : -Infinity;
        map.ranges.forEach(range => this.progress.set(range.first, createInheritedProgress(range, scale)));
        const inherited = isInherited ? listHolders(map) : [];
        this.reachability = new HolderReachability(inherited, settings.unresponsiveAfterMs);
    }

    /** The map as last committed. */
    get map(): KeyMap {
        return this.committed;
    }

    /** The distinct owners of the map. */
    get owners(): readonly KeyHolder[] {
        return this.distinctOwners;
    }

    /** Whether a grant was refused because the server had seen a higher fencing token. */
    get hasRefused(): boolean {
        return this.refused.size > 0;
    }

    /** Returns the ranges with earlier owners that may still hold keys of them, and these owners. */
    listWaiting(now: Milliseconds): readonly WaitingRange[] {
        return this.committed.ranges.flatMap(range => {
            const holders = this.listPossibleHolders(range, now);
            return holders.length > 0 ? [{ range, holders }] : [];
        });
    }

    /** Returns how much longer predecessors may send grants. */
    getPredecessorTimeLeft(now: Milliseconds): Milliseconds {
        return Math.max(0, this.inheritedUntil - now);
    }

    /** Whether a commit is needed although no keys move: ranges wait for the end of a proposal, or the map can state a time that it lacks. */
    get needsCommit(): boolean {
        return this.frozen.size > 0 || this.hasUndatedOwner;
    }

    /**
     * Returns the map with changes, to be written; orders follow only once it is committed. A range whose owner the new map no longer lists
     * gets no grant until the proposal is committed, superseded by a later commit, or abandoned: the map would not account for a grant that
     * is sent meanwhile. The same holds for a range whose owner is leaving or does not answer, since the map states when its last grant was
     * sent.
     *
     * @param fence the new token, higher than any that was ever used; one more than the last of the map when left out
     */
    propose(term: number, changes: readonly RangeChange[], now: Milliseconds, fence?: number): KeyMap {
        for (const { first, owner } of changes) {
            const range = findRange(this.committed.ranges, first)!;
            const stopProof = this.findStopProof(range.owner, range, now);
            const isUnfit = this.getState(range.owner) !== "live" || this.isUnresponsive(range.owner, now);
            if (!isSameHolder(owner, range.owner) && (stopProof || isUnfit)) {
                this.frozen.set(range.first, stopProof);
            }
        }
        return applyChanges(
            this.committed,
            term,
            changes,
            (holder, range) => this.hasStopped(holder, range, now),
            (holder, range) => this.getGrantLimit(holder, range),
            fence,
        );
    }

    /** Abandons the proposal, which is known not to have been written. */
    abandon(): void {
        this.frozen.clear();
    }

    /** Adopts a committed map. */
    commit(map: KeyMap): void {
        this.progress = updateProgress(this.committed, this.progress, map, this.frozen);
        this.committed = map;
        this.distinctOwners = listOwners(map);
        this.refused.clear();
        this.requested.clear();
        this.frozen.clear();
        this.hasUndatedOwner = false;
    }

    /**
     * Returns the orders that are due. Each must be sent at once and its outcome passed to `complete`. Grants in flight are limited, and
     * those for keys that callers ask for in vain come first: a coordinator that takes over has to grant all ranges.
     *
     * @param mayMove whether keys may move to new owners; otherwise only renewals are due
     * @param renewalLimit maximum number of renewals, so that many that are due together do not block the loop
     * @param moveLimit the same for other grants, and for releases
     */
    takeDueOrders(
        now: Milliseconds,
        mayMove: boolean,
        renewalLimit: number,
        moveLimit = Infinity,
    ): readonly KeyOrder[] {
        const orders: KeyOrder[] = [];
        const waiting = new Map<number, WaitingRange>();
        const quota = new OrderQuota(renewalLimit, moveLimit);
        for (const range of this.listByUrgency()) {
            const progress = this.progress.get(range.first)!;
            const { dueAt, isHeld, pendingOrders } = progress;
            if (pendingOrders > 0 || now < dueAt || (isHeld && !quota.hasGrant(true))) {
                continue;
            }
            const possibleHolders = this.listPossibleHolders(range, now);
            if (possibleHolders.length > 0) {
                waiting.set(range.first, { range, holders: possibleHolders });
            }
            else if (quota.hasGrant(isHeld) && this.mayGrant(range, mayMove, progress)) {
                quota.takeGrant(isHeld);
                orders.push(this.createGrant(range, progress, now));
            }
        }
        const getDueAt = ({ first }: OwnedRange) => this.progress.get(first)!.dueAt;
        const released = mayMove ? pickLongestWaiting([...waiting.values()], getDueAt, moveLimit) : [];
        const releases = released.flatMap(({ holders, range }) =>
            holders.map(holder => this.createRelease(range, holder, now))
        );
        return [...releases, ...orders];
    }

    /** Records the outcome of an order. Returns the range when its owner has now confirmed its first grant. */
    complete(order: KeyOrder, outcome: OrderOutcome, now: Milliseconds): HeldRange | undefined {
        this.reachability.recordOutcome(order.holder, outcome, now);
        if (order.kind === "grant") {
            this.window.remove(order.holder);
            this.recordArrival(order, outcome, now);
        }
        const range = findRange(this.committed.ranges, order.first);
        const progress = range && this.progress.get(range.first);
        this.hasUndatedOwner ||= range !== undefined && range.fence !== order.fence
            && range.previousUntil === undefined && range.previous.length > 0;
        if (!range || !progress || range.first !== order.first || range.fence !== order.fence) {
            return undefined;
        }
        progress.pendingOrders = Math.max(0, progress.pendingOrders - 1);
        if (outcome.kind === "fenced") {
            // The same grant would be refused again: the range waits for a new fencing token.
            this.refused.add(range.first);
            progress.dueAt = Infinity;
            return undefined;
        }
        const isFirstGrant = recordOutcome(progress, order, outcome, now, this.settings.retryMs);
        return isFirstGrant ? { first: range.first, fence: range.fence } : undefined;
    }

    /**
     * Returns changes that give the same owner a new fencing token, for ranges whose grant was refused because the server had seen a higher
     * one.
     */
    listRefused(): readonly RangeChange[] {
        return this.committed.ranges
            .filter(({ first }) => this.refused.has(first))
            .map(({ first, last, owner }) => ({ first, last, owner }));
    }

    /** Records that predecessors send nothing after `until`. */
    limitPredecessorTime(until: Milliseconds): void {
        this.inheritedUntil = Math.min(this.inheritedUntil, until);
    }

    /** Makes the grant of a key's range due, since its owner was found not to hold the key. */
    renewSoon(key: number, now: Milliseconds): void {
        const range = findRange(this.committed.ranges, key);
        const progress = range && this.progress.get(range.first);
        const mayRenew = range !== undefined && !this.refused.has(range.first);
        if (progress && mayRenew && now - progress.grantSentAt >= this.settings.retryMs) {
            progress.dueAt = Math.min(progress.dueAt, now);
            this.requested.add(range.first);
        }
    }

    /** Whether a holder has not answered for so long that its keys need another owner. */
    isUnresponsive(holder: KeyHolder, now: Milliseconds): boolean {
        return this.reachability.isUnresponsive(holder, now);
    }

    /** Whether a holder may get more keys. */
    mayReceive(holder: KeyHolder, now: Milliseconds): boolean {
        return this.reachability.mayReceive(holder, now);
    }

    /**
     * Returns releases that probe unconfirmed holders without keys; each outcome must be passed to `completeProbe`. They take nothing away:
     * each has the current fencing token of a range of which the holder has nothing.
     */
    takeProbes(now: Milliseconds): readonly KeyOrder[] {
        const owners = this.committed.ranges.flatMap(range => [
            range.owner,
            ...this.listPossibleHolders(range, now),
        ]);
        const addressed = new Set(owners.map(getHolderName));
        const holders = this.reachability.takeProbes(
            now,
            this.getState,
            holder => addressed.has(getHolderName(holder)),
        );
        return createProbes(this.committed, holders);
    }

    /** Records the outcome of a probe. */
    completeProbe(order: KeyOrder, outcome: OrderOutcome, now: Milliseconds): void {
        this.reachability.recordOutcome(order.holder, outcome, now);
    }

    /** Whether the owner of the range has confirmed its grant. */
    isHeld(range: OwnedRange): boolean {
        return this.progress.get(range.first)?.isHeld === true;
    }

    /** Returns all ranges, those that callers ask for in vain first, too. */
    private listByUrgency(): readonly OwnedRange[] {
        const { ranges } = this.committed;
        return this.requested.size === 0
            ? ranges
            : [...ranges.filter(({ first }) => this.requested.has(first)), ...ranges];
    }

    /**
     * Returns the earlier owners of a range that may still hold keys of it. Earlier incarnations of the owner are left out: they have ended if it
     * runs, and it would take a release for them as one for itself.
     */
    private listPossibleHolders(range: OwnedRange, now: Milliseconds): readonly KeyHolder[] {
        return range.previous.filter(holder =>
            holder.id !== range.owner.id && !this.hasStopped(holder, range, now)
        );
    }

    /** Returns the store time after which a holder gets no grants of a range; `undefined` when it may get more, or one has no outcome yet. */
    private getGrantLimit(holder: KeyHolder, range: OwnedRange): Milliseconds | undefined {
        const grant = this.progress.get(range.first)?.lastGrants.get(getHolderName(holder));
        const mayGetMore = isSameHolder(holder, range.owner) && !this.frozen.has(range.first);
        const isUnknown = mayGetMore || this.pending.includes(holder, range);
        return grant && !isUnknown
            ? this.scale.toStoreTime(getLastGrantTime(grant, this.inheritedUntil))
            : undefined;
    }

    /** Counts a grant whose outcome was learned late from then: it may have arrived until now. */
    private recordArrival(order: KeyOrder, { kind }: OrderOutcome, now: Milliseconds): void {
        const sentAt = this.pending.remove(order) ?? now;
        const at = now - this.settings.orderTimeoutMs;
        if (at > sentAt && kind !== "unsent" && kind !== "notConnected") {
            delayLastGrants(this.committed, this.progress, order, at);
        }
    }

    /** Whether an owner or earlier owner of a range is proved to have stopped serving it. */
    private hasStopped(holder: KeyHolder, range: OwnedRange, now: Milliseconds): boolean {
        return this.findStopProof(holder, range, now) !== undefined;
    }

    private findStopProof(holder: KeyHolder, range: OwnedRange, now: Milliseconds): StopProof | undefined {
        const state = this.getState(holder);
        const lastGrants = this.progress.get(range.first)?.lastGrants;
        const isOwner = isSameHolder(holder, range.owner);
        const isPending = this.pending.includes(holder, range);
        return findStopProof(
            { holder, isOwner, isPending, state, lastGrants },
            this.inheritedUntil,
            now,
            this.settings,
        );
    }

    /**
     * Whether the owner may get a grant of the range now. One whose last order failed gets only one at a time, so that its other grants can
     * expire.
     */
    private mayGrant(range: OwnedRange, mayMove: boolean, progress: RangeProgress): boolean {
        const state = this.getState(range.owner);
        const isEnded = state === "dead" || state === "replaced";
        if (this.frozen.has(range.first) || isEnded || (!mayMove && !progress.isHeld)) {
            return false;
        }
        return this.reachability.isFailing(range.owner)
            ? this.window.isUnused(range.owner)
            : this.window.hasRoom(range.owner);
    }

    private createGrant(range: OwnedRange, progress: RangeProgress, now: Milliseconds): KeyOrder {
        const stopProofs = progress.grantSentAt === -Infinity
            ? this.listStopProofs(range, progress, now)
            : undefined;
        progress.pendingOrders++;
        progress.grantSentAt = now;
        this.window.add(range.owner);
        this.requested.delete(range.first);
        const name = getHolderName(range.owner);
        const grantBefore = progress.lastGrants.get(name);
        progress.lastGrants.set(name, { at: now, isInherited: grantBefore?.isInherited === true });
        progress.dueAt = now + this.settings.renewMs * getRenewalFactor(range.first);
        const { first, fence, last, owner } = range;
        const { handover } = progress;
        const fields = { first, last, fence, holder: owner, handover };
        const order: KeyOrder = { kind: "grant", ...fields, ...(stopProofs && { stopProofs }) };
        progress.lastOrder = { order, grantBefore };
        this.pending.add(order, now);
        return order;
    }

    /** Returns the stop proofs of the earlier owners: those that the map lists, and those removed from it since the last grant. */
    private listStopProofs(
        range: OwnedRange,
        { removedOwners }: RangeProgress,
        now: Milliseconds,
    ): readonly StopProof[] {
        const listed = range.previous.flatMap(holder => this.findStopProof(holder, range, now) ?? []);
        return [...removedOwners, ...listed].filter(({ holder }) => !isSameHolder(holder, range.owner));
    }

    private createRelease(range: OwnedRange, holder: KeyHolder, now: Milliseconds): KeyOrder {
        const progress = this.progress.get(range.first)!;
        progress.pendingOrders++;
        progress.dueAt = now + this.settings.retryMs;
        const { first, fence, last } = range;
        return { kind: "release", first, last, fence, holder, handover: undefined };
    }
}
