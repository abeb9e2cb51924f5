import type { Milliseconds } from "@arbutusdoor/common";
import type { OrderOutcome } from "../orders/orderOutcome.js";
import { applyChanges } from "./applyChanges.js";
import { createRangeProgress } from "./createRangeProgress.js";
import { findRange } from "./findRange.js";
import { findStopProof } from "./findStopProof.js";
import { getHolderName } from "./getHolderName.js";
import { getRenewalFactor } from "./getRenewalFactor.js";
import { HolderReachability } from "./holderReachability.js";
import type { HolderState } from "./holderState.js";
import { isSameHolder } from "./isSameHolder.js";
import type { KeyHolder } from "./keyHolder.js";
import type { KeyMap } from "./keyMap.js";
import type { KeyOrder } from "./keyOrder.js";
import type { OwnedRange } from "./ownedRange.js";
import type { OwnershipSettings } from "./ownershipSettings.js";
import type { RangeChange } from "./rangeChange.js";
import type { RangeProgress } from "./rangeProgress.js";
import type { StopProof } from "./stopProof.js";

/** A range's owner has confirmed its grant. */
type HeldRange = { readonly first: number; readonly fence: number; };

/**
 * Decides which orders are due for the keys of one service. It sends nothing itself: pure on the committed map, the outcomes of
 * orders and the time that is passed in.
 *
 * A range is granted to its owner once every earlier owner is cleared: it has answered a release under the owner's fence (which also
 * makes it refuse late grants of lower fences), or is proved dead, or the last grant that may have reached it has lapsed.
 */
export class OrderScheduler {
    private readonly settings: OwnershipSettings;
    private readonly getState: (holder: KeyHolder) => HolderState;
    private committed: KeyMap;
    private distinctOwners: readonly KeyHolder[];
    private progress = new Map<number, RangeProgress>();
    /** Ranges that get no grant until a proposal has ended, by first key, and how the owner was cleared that it takes them from. */
    private readonly frozen = new Map<number, StopProof>();
    private readonly refused = new Set<number>();
    private readonly contacts: HolderReachability;
    /** Until then grants of a predecessor may have been sent to the holders that its map names. */
    private inheritedUntil: Milliseconds;

    /**
     * @param isInherited whether another coordinator may have sent grants of this map
     * @param getState what is known of a holder now
     */
    constructor(
        map: KeyMap,
        isInherited: boolean,
        now: Milliseconds,
        settings: OwnershipSettings,
        getState: (holder: KeyHolder) => HolderState,
    ) {
        this.settings = settings;
        this.getState = getState;
        this.committed = map;
        this.distinctOwners = listOwners(map);
        this.inheritedUntil = isInherited ? now + settings.renewalAuthorityMs : -Infinity;
        map.ranges.forEach(range => this.progress.set(range.first, createRangeProgress(range)));
        const inherited = isInherited
            ? map.ranges.flatMap(({ owner, previous }) => [owner, ...previous])
            : [];
        this.contacts = new HolderReachability(inherited, settings.unresponsiveAfterMs);
    }

    /** The map as last committed. */
    get map(): KeyMap {
        return this.committed;
    }

    /** Each owner of the map once. */
    get owners(): readonly KeyHolder[] {
        return this.distinctOwners;
    }

    /** Whether a grant was refused because a higher fence was seen. */
    get hasRefused(): boolean {
        return this.refused.size > 0;
    }

    /** Ranges that list an earlier owner that may still hold keys of them. */
    countWaiting(now: Milliseconds): number {
        return this.committed.ranges.filter(range => this.listUncleared(range, now).length > 0).length;
    }

    /** How much longer coordinators before may send grants. */
    getPredecessorTimeLeft(now: Milliseconds): Milliseconds {
        return Math.max(0, this.inheritedUntil - now);
    }

    /** Whether ranges wait for the end of a proposal. */
    get hasFrozen(): boolean {
        return this.frozen.size > 0;
    }

    /**
     * The map with changes made, to be written; orders follow only once it is committed. A range whose owner the new map no longer
     * names gets no grant until the proposal is committed, replaced by a later commit, or abandoned: a grant that went out
     * meanwhile would be unknown to the map.
     */
    propose(term: number, changes: readonly RangeChange[], now: Milliseconds): KeyMap {
        const map = applyChanges(
            this.committed,
            term,
            changes,
            (holder, range) => this.isCleared(holder, range, now),
        );
        for (const { first, owner } of changes) {
            const range = findRange(this.committed.ranges, first)!;
            const clearance = this.findClearance(range.owner, range, now);
            if (!isSameHolder(owner, range.owner) && clearance) {
                this.frozen.set(range.first, clearance);
            }
        }
        return map;
    }

    /** The proposal was surely not written. */
    abandon(): void {
        this.frozen.clear();
    }

    /** Takes a committed map over. */
    commit(map: KeyMap): void {
        const before = this.committed.ranges;
        const next = new Map<number, RangeProgress>();
        let index = 0;
        for (const range of map.ranges) {
            while (before[index] && before[index]!.last < range.first) {
                index++;
            }
            const source = before[index];
            const known = source && this.progress.get(source.first);
            const isSame = source?.fence === range.fence && source.first === range.first
                && source.last === range.last;
            const progress = known && isSame ? known : createRangeProgress(range, source, known);
            const dropped = source && this.frozen.get(source.first);
            if (dropped && source.fence !== range.fence) {
                progress.removedOwners.push(dropped);
            }
            next.set(range.first, progress);
        }
        this.committed = map;
        this.distinctOwners = listOwners(map);
        this.progress = next;
        this.refused.clear();
        this.frozen.clear();
    }

    /**
     * The orders that are due; each is to be sent at once and its outcome given to `complete`. Orders for keys that nobody serves
     * come before renewals.
     *
     * @param mayMove whether keys may get to a new owner; renewals alone go on without
     * @param renewalLimit most renewals at a time, so that many that fall due together do not hold the loop up
     */
    takeDueOrders(now: Milliseconds, mayMove: boolean, renewalLimit: number): readonly KeyOrder[] {
        const orders: KeyOrder[] = [];
        const probed = new Set<string>();
        let renewals = 0;
        for (const range of this.committed.ranges) {
            const progress = this.progress.get(range.first)!;
            if (
                progress.pendingOrders > 0 || now < progress.dueAt
                || (progress.isHeld && renewals >= renewalLimit)
            ) {
                continue;
            }
            const holding = this.listUncleared(range, now);
            if (holding.length > 0) {
                if (mayMove) {
                    orders.push(...holding.map(holder => this.newRelease(range, holder, progress, now)));
                }
            }
            else if (!this.frozen.has(range.first) && this.mayGrant(range, probed, mayMove, progress)) {
                renewals += progress.isHeld ? 1 : 0;
                orders.push(this.newGrant(range, progress, now));
            }
        }
        return orders;
    }

    /** Takes the outcome of an order in. Returns the range when its owner has now confirmed its first grant. */
    complete(order: KeyOrder, outcome: OrderOutcome, now: Milliseconds): HeldRange | undefined {
        this.contacts.recordOutcome(order.holder, outcome, now);
        const range = findRange(this.committed.ranges, order.first);
        const progress = range && this.progress.get(range.first);
        if (!range || !progress || range.first !== order.first || range.fence !== order.fence) {
            return undefined;
        }
        progress.pendingOrders = Math.max(0, progress.pendingOrders - 1);
        if (outcome.kind === "fenced") {
            // The same grant would be refused again: the range waits for a new fence.
            this.refused.add(range.first);
            progress.dueAt = Infinity;
            return undefined;
        }
        if (outcome.kind !== "done") {
            progress.dueAt = now + this.settings.retryMs;
            return undefined;
        }
        if (order.kind === "release") {
            progress.lastGrants.delete(getHolderName(order.holder));
            progress.handover = outcome.handover ?? progress.handover;
            progress.dueAt = now;
            return undefined;
        }
        const isFirst = !progress.isHeld;
        progress.isHeld = true;
        progress.answeredAt = now;
        progress.handover = undefined;
        return isFirst ? { first: range.first, fence: range.fence } : undefined;
    }

    /** Changes that give the same owner a new fence, for ranges whose grant was refused because a higher one was seen. */
    listRefused(): readonly RangeChange[] {
        return this.committed.ranges
            .filter(({ first }) => this.refused.has(first))
            .map(({ first, last, owner }) => ({ first, last, owner }));
    }

    /** Coordinators before send nothing after a time. */
    limitPredecessorTime(until: Milliseconds): void {
        this.inheritedUntil = Math.min(this.inheritedUntil, until);
    }

    /** Makes the grant of a key's range due: its owner was seen not to hold it. */
    renewSoon(key: number, now: Milliseconds): void {
        const range = findRange(this.committed.ranges, key);
        const progress = range && this.progress.get(range.first);
        const mayRenew = range !== undefined && !this.refused.has(range.first);
        if (progress && mayRenew && now - progress.grantSentAt >= this.settings.retryMs) {
            progress.dueAt = Math.min(progress.dueAt, now);
        }
    }

    /** Whether nothing was heard from a holder for so long that its keys belong elsewhere. */
    isUnresponsive(holder: KeyHolder, now: Milliseconds): boolean {
        return this.contacts.isUnresponsive(holder, now);
    }

    /** Whether more keys may go to a holder. */
    mayReceive(holder: KeyHolder, now: Milliseconds): boolean {
        return this.contacts.mayReceive(holder, now);
    }

    /**
     * Releases by which quiet holders without keys are asked to answer; each outcome is given to `completeProbe`. They take nothing
     * away: the holder has nothing of the range, whose fence they bear.
     */
    takeProbes(now: Milliseconds): readonly KeyOrder[] {
        const [range] = this.committed.ranges;
        if (!range) {
            return [];
        }
        const { first, fence, last } = range;
        const addressed = new Set(
            this.committed.ranges.flatMap(each => [each.owner, ...this.listUncleared(each, now)]).map(
                getHolderName,
            ),
        );
        return this.contacts.takeProbes(now, this.getState, holder => addressed.has(getHolderName(holder)))
            .map(
                holder => ({ kind: "release", first, last, fence, holder, handover: undefined }),
            );
    }

    /** Takes the outcome of a probe in. */
    completeProbe(order: KeyOrder, outcome: OrderOutcome, now: Milliseconds): void {
        this.contacts.recordOutcome(order.holder, outcome, now);
    }

    /** Whether the owner of the range has confirmed its grant. */
    isHeld(range: OwnedRange): boolean {
        return this.progress.get(range.first)?.isHeld === true;
    }

    /** Earlier owners of the range that may still hold keys of it. */
    private listUncleared(range: OwnedRange, now: Milliseconds): readonly KeyHolder[] {
        return range.previous.filter(holder => !this.isCleared(holder, range, now));
    }

    /** Whether a holder that once owned the range holds nothing of it any more. */
    private isCleared(holder: KeyHolder, range: OwnedRange, now: Milliseconds): boolean {
        return this.findClearance(holder, range, now) !== undefined;
    }

    private findClearance(holder: KeyHolder, range: OwnedRange, now: Milliseconds): StopProof | undefined {
        const state = this.getState(holder);
        const lastGrants = this.progress.get(range.first)?.lastGrants;
        const isOwner = isSameHolder(holder, range.owner);
        return findStopProof({ holder, isOwner, state, lastGrants }, this.inheritedUntil, now, this.settings);
    }

    /** A server that does not answer is tried with one of its ranges, so that the others can lapse. */
    private mayGrant(
        range: OwnedRange,
        probed: Set<string>,
        mayMove: boolean,
        progress: RangeProgress,
    ): boolean {
        const state = this.getState(range.owner);
        if (state === "dead" || state === "replaced" || (!mayMove && !progress.isHeld)) {
            return false;
        }
        const name = getHolderName(range.owner);
        if (!this.contacts.isFailing(range.owner)) {
            return true;
        }
        const isFirst = !probed.has(name);
        probed.add(name);
        return isFirst;
    }

    private newGrant(range: OwnedRange, progress: RangeProgress, now: Milliseconds): KeyOrder {
        const clearances = progress.grantSentAt === -Infinity
            ? this.listClearances(range, progress, now)
            : undefined;
        progress.pendingOrders++;
        progress.grantSentAt = now;
        const name = getHolderName(range.owner);
        const isInherited = progress.lastGrants.get(name)?.isInherited === true;
        progress.lastGrants.set(name, { at: now, isInherited });
        progress.dueAt = now + this.settings.renewMs * getRenewalFactor(range.first);
        const { first, fence, last, owner } = range;
        const { handover } = progress;
        return {
            kind: "grant",
            first,
            last,
            fence,
            holder: owner,
            handover,
            ...(clearances && { stopProofs: clearances }),
        };
    }

    /** How the earlier owners were cleared that the map lists, or no longer lists since there was no grant after them. */
    private listClearances(
        range: OwnedRange,
        { removedOwners: dropped }: RangeProgress,
        now: Milliseconds,
    ): readonly StopProof[] {
        const listed = range.previous.flatMap(holder => this.findClearance(holder, range, now) ?? []);
        return [...dropped, ...listed].filter(({ holder }) => !isSameHolder(holder, range.owner));
    }

    private newRelease(
        range: OwnedRange,
        holder: KeyHolder,
        progress: RangeProgress,
        now: Milliseconds,
    ): KeyOrder {
        progress.pendingOrders++;
        progress.dueAt = now + this.settings.retryMs;
        const { first, fence, last } = range;
        return { kind: "release", first, last, fence, holder, handover: undefined };
    }
}

function listOwners(map: KeyMap): readonly KeyHolder[] {
    return [...new Map(map.ranges.map(({ owner }) => [getHolderName(owner), owner])).values()];
}
