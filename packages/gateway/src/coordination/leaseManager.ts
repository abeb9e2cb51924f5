import type { Clock, HostId, HostIncarnation, Logger, Milliseconds, RandomSource } from "@arbutusdoor/common";
import { fencingTokens } from "@arbutusdoor/policy";
import type { RowTable } from "../store/rowTable.js";
import type { StoreAvailability } from "../store/storeAvailability.js";
import { StoreEra } from "../store/storeEra.js";
import type { WatchedRow } from "../store/watchedRow.js";
import type { CoordinatorLease } from "./coordinatorLease.js";
import { getTakeoverCause } from "./getTakeoverCause.js";
import { LeasePolls } from "./leasePolls.js";
import type { LeaseReading } from "./leaseReading.js";
import type { Predecessor } from "./predecessor.js";
import { suspendAwareTime } from "./suspendAwareTime.js";

/** Short enough that another host takes over well before grants expire; long enough for a slow store (240 ms an answer). */
const LEASE_MS = 2_500;
const RENEW_MS = 800;
/** Another host waits this much longer than the lease, since steady clocks may differ a little. */
const TAKEOVER_MARGIN_MS = 100;
const OWN_MARGIN_MS = 100;
const RETRY_MS = 150;
/** Maximum delay of the first attempt, so that hosts that start together try to take the lease at different times. */
const FIRST_ATTEMPT_SPREAD_MS = 250;
const LEASE_KEY = "coordinator";

/** Dependencies of a lease manager. */
type LeaseManagerParts = {
    readonly host: HostId;
    readonly incarnation: HostIncarnation;
    readonly address: string;
    readonly table: RowTable<CoordinatorLease>;
    readonly availability: StoreAvailability;
    readonly clock: Clock;
    readonly random: RandomSource;
    readonly logger: Logger;
    /** The store's era as this host knows it; one of its own when left out. */
    readonly era?: StoreEra;
    /** Whether this host has to find the coordinator or become it. */
    readonly needsCoordinator: () => boolean;
    /** Whether this host may take the lease. */
    readonly isEligible: () => boolean;
    /** How long this host leaves a free lease to others; 0 for a host that has the processor time to coordinate. */
    readonly claimDelayMs: Milliseconds;
    /** How long a coordinator that cannot reach the store goes on renewing grants. */
    readonly renewalAuthorityMs: Milliseconds;
    /**
     * Called when this host becomes the coordinator, with the earlier coordinators that may still renew grants; times are by this host's
     * steady clock. The coordination is continued when this host held the lease in the store's earlier era, too, and no other host can have
     * had it in between.
     */
    readonly onAcquired: (term: number, predecessors: readonly Predecessor[], isContinued: boolean) => void;
    /** Called when the lease that was read from the store is held by another host. */
    readonly onOtherCoordinator: (lease: CoordinatorLease) => void;
};

/** The store's clock as an answer stated it. */
type StoreReading = {
    readonly storeTime: Milliseconds;
    /** When the call began whose answer stated the time, and when that answer was read. */
    readonly mark: ReturnType<typeof suspendAwareTime.mark>;
    readonly readAt: Milliseconds;
};

/** This host's lease. */
type OwnLease = { readonly term: number; readonly version: number; readonly expiresAt: Milliseconds; };

/**
 * Takes, renews and gives up the coordinator lease. For other hosts it expires by the store's steady clock; for the holder by its own,
 * counted from before the call that read the store's.
 */
export class LeaseManager {
    private readonly parts: LeaseManagerParts;
    private own: OwnLease | undefined;
    /** The lease that this host held, if it did, when the era of the store rose. */
    private earlier:
        | {
            readonly lease: OwnLease;
            readonly reference: StoreReading;
            readonly predecessors: readonly Predecessor[];
        }
        | undefined;
    private readonly era: StoreEra;
    /** When this host first learned of the current era, and whether it knew of an earlier one. */
    private eraSeenAt: Milliseconds = -Infinity;
    private hasEraRisen = false;
    private reference: StoreReading | undefined;
    private lastContact: ReturnType<typeof suspendAwareTime.mark> | undefined;
    private announcedTerm: number | undefined;
    /** Earlier coordinators that may still renew grants; times are by the store's clock. */
    private predecessors: readonly Predecessor[] = [];
    private cause: ReturnType<typeof getTakeoverCause> | "storeRestored" = "noLease";
    /** The poll or renewal in progress, or the last one. */
    private step: Promise<Milliseconds> | undefined;
    private isStopped = false;
    /** When the lease was first found free; `undefined` while it is held, also by this host, and while this host does not look for it. */
    private freeSince: Milliseconds | undefined;
    private readonly polls: LeasePolls;
    private lastReading: LeaseReading = "unread";

    constructor(parts: LeaseManagerParts) {
        this.parts = parts;
        this.polls = new LeasePolls(parts.availability, parts.logger);
        this.era = parts.era ?? new StoreEra();
        this.era.onRise(() => this.handleEra());
    }

    /** Era of the store. An order under a term of an earlier era must not be sent. */
    get storeEra(): number {
        return this.era.current;
    }

    /** Term of the lease that this host holds or held last, unless another host is known to have taken it. */
    get term(): number | undefined {
        return this.own?.term;
    }

    /** What was last read of the lease. */
    get reading(): LeaseReading {
        return this.lastReading;
    }

    /** Whether the lease is valid now. */
    get isValid(): boolean {
        const { own, reference } = this;
        return own !== undefined && reference !== undefined
            && this.getStoreTimeBound() < own.expiresAt - OWN_MARGIN_MS;
    }

    /** Time since the store last acknowledged a renewal; infinite when it never did. */
    get storeContactAge(): Milliseconds {
        return this.lastContact ? suspendAwareTime.getElapsed(this.parts.clock, this.lastContact) : Infinity;
    }

    /** Returns the latest time that the store's clock can show at a time of this host's clock; `undefined` before its first reading. */
    readonly toStoreTime = (time: Milliseconds): Milliseconds | undefined => {
        const { reference } = this;
        return reference && this.getStoreTimeBound() + time - this.parts.clock.now();
    };

    /** Returns the latest time of this host's clock at which the store's clock can show a time; Infinity before its first reading. */
    readonly toLocalTime = (storeTime: Milliseconds): Milliseconds => {
        const { reference } = this;
        return reference ? reference.readAt + storeTime - reference.storeTime : Infinity;
    };

    /** Polls and renews the lease until it is resigned. */
    async run(): Promise<void> {
        const { clock, random } = this.parts;
        await clock.sleep(random.nextFraction() * FIRST_ATTEMPT_SPREAD_MS);
        while (!this.isStopped) {
            this.step = this.own ? this.renew(this.own) : this.poll();
            await clock.sleep(await this.step);
        }
    }

    /** Gives the lease up, so that another host takes over at once. */
    async resign(): Promise<void> {
        this.isStopped = true;
        // A renewal in progress changes the version that the write has to name.
        await this.step;
        const { own } = this;
        if (own) {
            this.own = undefined;
            const { clock, logger, table } = this.parts;
            const startedAt = clock.now();
            const { kind } = await table.write(LEASE_KEY, own.version, this.createLease(own.term, 0));
            const durationMs = Math.round(clock.now() - startedAt);
            if (kind === "committed") {
                logger.log("resigned", { term: own.term, durationMs });
            }
            else {
                logger.log("resignationFailed", { term: own.term, durationMs, error: kind });
            }
        }
    }

    private async renew(own: OwnLease): Promise<Milliseconds> {
        const expiresAt = this.getStoreTimeFloor() + LEASE_MS;
        const isWritten = await this.write(own.term, own.version, expiresAt);
        if (isWritten) {
            return RENEW_MS;
        }
        const delay = await this.poll();
        return this.isValid ? RETRY_MS : Math.max(RETRY_MS, delay);
    }

    /** Reads the lease, and takes it when it is free. Returns the delay until the next poll or renewal. */
    private async poll(): Promise<Milliseconds> {
        const {
            claimDelayMs,
            clock,
            host,
            incarnation,
            isEligible,
            needsCoordinator,
            onOtherCoordinator,
            random,
            table,
        } = this.parts;
        if (!this.own && !needsCoordinator()) {
            this.polls.stop();
            this.freeSince = undefined;
            return RETRY_MS;
        }
        const mark = suspendAwareTime.mark(clock);
        const read = await table.readRow(LEASE_KEY);
        if (read.kind === "unavailable" || this.isStopped) {
            if (read.kind === "unavailable") {
                this.polls.recordFailure(read.reason);
            }
            return this.parts.availability.probeDelay;
        }
        if (!this.era.record(read.era)) {
            return RETRY_MS;
        }
        this.polls.recordAnswer();
        this.reference = { storeTime: read.storeTime, mark, readAt: clock.now() };
        const lease = getLease(read.row);
        // A term of an earlier era is no lease in this one: the row was restored, or written by a late call of the earlier era.
        const isOfEarlierEra = lease !== undefined && fencingTokens.getEra(lease.term) < this.era.current;
        if (lease?.incarnation === incarnation && lease.expiresAt > 0 && !isOfEarlierEra) {
            this.own = { term: lease.term, version: read.row.version, expiresAt: lease.expiresAt };
            this.lastReading = "own";
            this.predecessors = lease.predecessors;
            this.announce(lease.term);
            return RETRY_MS;
        }
        if (this.own && lease) {
            this.own = undefined;
            this.parts.logger.log("coordinatorLost", { term: lease.term, other: lease.host });
        }
        const left = lease ? lease.expiresAt + TAKEOVER_MARGIN_MS - read.storeTime : 0;
        // A restarted host takes over from its own earlier incarnation at once, since that one has ended.
        if (lease && left > 0 && lease.host !== host && !(isOfEarlierEra && this.mayContinue)) {
            this.freeSince = undefined;
            this.lastReading = "held";
            this.earlier = isOfEarlierEra ? this.earlier : undefined;
            onOtherCoordinator(lease);
            return Math.min(left, this.polls.takePause());
        }
        this.lastReading = lease ? "free" : "none";
        this.polls.reset();
        if (this.isLeftToEarlierHolder(isOfEarlierEra, lease === undefined)) {
            return RETRY_MS;
        }
        this.freeSince ??= clock.now();
        const isLeftToOthers = lease?.host !== host && clock.now() - this.freeSince < claimDelayMs;
        if (!isEligible()) {
            return this.polls.shortPause;
        }
        if (isLeftToOthers) {
            return RETRY_MS;
        }
        const term = fencingTokens.getNext(lease?.term ?? 0, this.era.current);
        if (term === undefined) {
            return RETRY_MS;
        }
        this.cause = isOfEarlierEra ? "storeRestored" : getTakeoverCause(lease, host);
        const known = this.mayContinue ? this.earlier!.predecessors : [];
        this.predecessors = [
            ...known.filter(({ renewsUntil }) => renewsUntil > read.storeTime),
            ...lease ? this.listPredecessors(lease, read.storeTime) : [],
        ];
        const isTaken = await this.write(term, read.row.version, this.getStoreTimeFloor() + LEASE_MS);
        if (isTaken) {
            const isContinued = this.mayContinue;
            this.earlier = undefined;
            this.announce(term, isContinued);
        }
        return isTaken ? RENEW_MS : RETRY_MS * (1 + random.nextFraction());
    }

    /**
     * Returns the coordinators that may still renew grants when a lease is taken over. A holder that gave its lease up sends nothing more,
     * nor does an earlier incarnation of this host; those listed before stay until their own time is over, however often the lease changes
     * hands. The list stays short: each holder on it has kept its lease to the end, and is removed after the time of a few leases.
     */
    private listPredecessors(lease: CoordinatorLease, storeTime: Milliseconds): readonly Predecessor[] {
        const renewsUntil = storeTime + this.parts.renewalAuthorityMs;
        const { expiresAt, host, incarnation, predecessors } = lease;
        const all = expiresAt > 0 ? [...predecessors, { host, incarnation, renewsUntil }] : predecessors;
        return all.filter(coordinator =>
            coordinator.host !== this.parts.host && coordinator.renewsUntil > storeTime
        );
    }

    /** Whether the lease of the earlier era would still be valid: until it ends, no other host takes the lease in the new era. */
    private get mayContinue(): boolean {
        const { earlier } = this;
        return earlier !== undefined && this.isHeld(earlier.lease, earlier.reference);
    }

    private isHeld({ expiresAt }: OwnLease, { mark, storeTime }: StoreReading): boolean {
        return storeTime + suspendAwareTime.getElapsed(this.parts.clock, mark) < expiresAt - OWN_MARGIN_MS;
    }

    /** Whether a lease that was lost with the earlier era is still left to the host that held it, so that its maps need not be rebuilt. */
    private isLeftToEarlierHolder(isOfEarlierEra: boolean, isAbsent: boolean): boolean {
        const isLost = isOfEarlierEra || (isAbsent && this.hasEraRisen);
        const isDue = this.parts.clock.now() - this.eraSeenAt >= LEASE_MS + TAKEOVER_MARGIN_MS;
        return isLost && !isDue && !this.mayContinue;
    }

    /** Handles a new era of the store: a lease of the earlier one ends. */
    private handleEra(): void {
        const { own, reference } = this;
        this.hasEraRisen ||= this.lastContact !== undefined || reference !== undefined;
        this.eraSeenAt = this.parts.clock.now();
        if (own && reference) {
            this.earlier = { lease: own, reference, predecessors: this.predecessors };
            this.parts.logger.log("leaseOutdated", { term: own.term, era: this.era.current });
        }
        this.own = undefined;
        this.reference = undefined;
        this.predecessors = [];
    }

    private announce(term: number, isContinued = false): void {
        if (term !== this.announcedTerm && !this.isStopped) {
            this.announcedTerm = term;
            const { clock, logger, onAcquired } = this.parts;
            // The time since the store's clock was read is not subtracted: a predecessor is never assumed to end too early.
            const offset = clock.now() - (this.reference?.storeTime ?? Infinity);
            const predecessors = this.predecessors.map(coordinator => ({
                ...coordinator,
                renewsUntil: coordinator.renewsUntil + offset,
            }));
            logger.log("coordinatorElected", {
                term,
                predecessors: predecessors.map(({ host }) => host).join(" ") || "none",
                cause: this.cause,
                ...(isContinued && { isContinued }),
            });
            onAcquired(term, predecessors, isContinued);
        }
    }

    private async write(term: number, version: number, expiresAt: Milliseconds): Promise<boolean> {
        const mark = suspendAwareTime.mark(this.parts.clock);
        const outcome = await this.parts.table.write(LEASE_KEY, version, this.createLease(term, expiresAt));
        if (outcome.kind === "conflict") {
            this.era.record(outcome.era);
        }
        if (outcome.kind !== "committed") {
            return false;
        }
        this.polls.recordAnswer();
        if (!this.era.record(outcome.era) || fencingTokens.getEra(term) < this.era.current) {
            return false;
        }
        this.own = { term, version: outcome.version, expiresAt };
        this.freeSince = undefined;
        this.reference = { storeTime: outcome.storeTime, mark, readAt: this.parts.clock.now() };
        this.lastContact = mark;
        return true;
    }

    private createLease(term: number, expiresAt: Milliseconds): CoordinatorLease {
        const { address, host, incarnation } = this.parts;
        return { term, host, incarnation, address, expiresAt, predecessors: this.predecessors };
    }

    /** Returns an upper bound of the store's time, since its clock was last read after the call began. */
    private getStoreTimeBound(): Milliseconds {
        const { reference } = this;
        return reference
            ? reference.storeTime + suspendAwareTime.getElapsed(this.parts.clock, reference.mark)
            : Infinity;
    }

    /** Returns an estimate of the store's time; a lease that is written with it ends no later than the holder assumes. */
    private getStoreTimeFloor(): Milliseconds {
        const { reference } = this;
        return reference ? reference.storeTime + (this.parts.clock.now() - reference.mark.steady) : 0;
    }
}

function getLease(row: WatchedRow<CoordinatorLease>): CoordinatorLease | undefined {
    return row.content.kind === "value" ? row.content.value : undefined;
}
