import type { Logger, Milliseconds } from "@arbutusdoor/common";
import type { StoreAvailability } from "../store/storeAvailability.js";

/** Pauses between reads by a host that cannot link to the holder: a few short ones, as it may just have been elected. */
const SHORT_PAUSE_MS = 450;
const LONG_PAUSE_MS = 1_000;
const SHORT_PAUSES = 3;

/** Paces a host's reads of a lease that it does not hold, and records whether the store answers them. */
export class LeasePolls {
    readonly shortPause: Milliseconds = SHORT_PAUSE_MS;
    private readonly availability: StoreAvailability;
    private readonly logger: Logger;
    /** Reads in a row that got no answer, and that no answered write has followed. */
    private failures = 0;
    /** Reads in a row that found the lease held by another host. */
    private readsOfOther = 0;

    constructor(availability: StoreAvailability, logger: Logger) {
        this.availability = availability;
        this.logger = logger;
    }

    /** Returns the pause after a read that found the lease held by another host. */
    takePause(): Milliseconds {
        return this.readsOfOther++ < SHORT_PAUSES ? SHORT_PAUSE_MS : LONG_PAUSE_MS;
    }

    /** Starts with short pauses again. */
    reset(): void {
        this.readsOfOther = 0;
    }

    /** Ends the polls: an outage up to now says nothing about later ones, and nobody waits for the next poll. */
    stop(): void {
        this.reset();
        this.failures = 0;
        this.availability.stopProbing();
    }

    /** Records a read without an answer. */
    recordFailure(reason: string): void {
        if (this.failures === 0) {
            this.logger.log("leaseUnavailable", { reason });
        }
        this.failures++;
        this.availability.recordFailure();
    }

    /** Records an answered read or write. */
    recordAnswer(): void {
        this.availability.recordAnswer();
        if (this.failures > 0) {
            this.logger.log("leaseRecovered", { failures: this.failures });
            this.failures = 0;
        }
    }
}
