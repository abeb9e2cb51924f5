import type { Clock, Milliseconds, RandomSource } from "@arbutusdoor/common";
import type { LeaseReading } from "../coordination/leaseReading.js";

/** A coordinator that is there sends all tables within this time, unless it is overloaded. */
const LINK_PATIENCE_MS = 500;
/**
 * When the whole system starts for the first time, a coordinator is elected as soon as some host knows a configuration, which the operator may
 * write a second later. Hosts begin to read after different times up to this, few of them early.
 */
const FIRST_START_PATIENCE_MS = 3_000;

/** What the decision depends on. */
type FollowingInput = {
    readonly isCoordinating: boolean;
    /** Whether an up-to-date coordinator sends this host all changes. */
    readonly isLinked: boolean;
    readonly lease: LeaseReading;
    /** Age of the older one of the configuration and the registry; infinite before they are known. */
    readonly tableAge: Milliseconds;
};

/** Which tables a host reads from the store itself. */
type FollowedTables = { readonly changes: boolean; readonly keys: boolean; };

/**
 * Decides which tables a host reads from the store itself. A host without a coordinator relies on what it knows for as long as that is recent
 * enough, since most coordinators are replaced within that time and the calls of all hosts add up.
 */
export class StoreFollowing {
    private readonly clock: Clock;
    private readonly firstStartPatience: Milliseconds;
    private readonly getAgeLimit: () => Milliseconds;
    private unlinkedSince: Milliseconds;

    /**
     * @param mayCoordinateAtOnce whether this host takes a free lease at once, for which it has to know the configuration
     * @param getAgeLimit returns the age of a table beyond which a host has to read it
     */
    constructor(
        clock: Clock,
        random: RandomSource,
        mayCoordinateAtOnce: boolean,
        getAgeLimit: () => Milliseconds,
    ) {
        this.clock = clock;
        const share = mayCoordinateAtOnce ? Math.sqrt(random.nextFraction()) : 1;
        this.firstStartPatience = FIRST_START_PATIENCE_MS * share;
        this.getAgeLimit = getAgeLimit;
        this.unlinkedSince = clock.now();
    }

    /** Returns the tables to read now: the configuration and the registry (`changes`), and the key maps. */
    decide({ isCoordinating, isLinked, lease, tableAge }: FollowingInput): FollowedTables {
        const now = this.clock.now();
        if (isCoordinating || isLinked) {
            this.unlinkedSince = now;
            // A coordinator follows all but the keys, which it writes itself.
            return { changes: isCoordinating, keys: false };
        }
        const isPatient = now - this.unlinkedSince < this.getPatience(lease);
        const isRecent = tableAge < this.getAgeLimit();
        return {
            changes: tableAge === Infinity ? !isPatient : !isRecent,
            keys: !isPatient,
        };
    }

    /** Returns how long a host without a coordinator waits for a link. */
    private getPatience(lease: LeaseReading): Milliseconds {
        switch (lease) {
            case "held":
                return LINK_PATIENCE_MS;
            case "none":
            case "unread":
                return this.firstStartPatience;
            default:
                return 0;
        }
    }
}
