import type { Clock, Milliseconds, RandomSource } from "@arbutusdoor/common";

/** Pauses between two probes of a store that does not answer. The longest is well within the time in which a change has to take effect. */
const MIN_PROBE_DELAY_MS = 300;
const MAX_PROBE_DELAY_MS = 1_000;
/** Share of a pause by which it varies, so that hosts do not probe at the same time. */
const JITTER = 0.3;
/** A caller waits no longer than this for a probe, as one may not be running. */
const MAX_WAIT_MS = 2_000;

/**
 * Whether the store answers this host. Only the reads of the lease probe a store that does not answer; all other readers wait for their
 * result, so that a host makes one call at a time during an outage.
 */
export class StoreAvailability {
    private readonly clock: Clock;
    private readonly random: RandomSource;
    private readonly waiting = new Set<() => void>();
    /** Probes in a row without an answer. */
    private failures = 0;

    constructor(clock: Clock, random: RandomSource) {
        this.clock = clock;
        this.random = random;
    }

    /** Returns the pause until the next probe. */
    get probeDelay(): Milliseconds {
        const delay = MIN_PROBE_DELAY_MS * 2 ** Math.max(0, Math.min(this.failures - 2, 10));
        return Math.min(MAX_PROBE_DELAY_MS, delay) * (1 + JITTER * (this.random.nextFraction() - 0.5));
    }

    /** Records a probe without an answer. */
    recordFailure(): void {
        this.failures++;
    }

    /** Records an answer of the store. */
    recordAnswer(): void {
        this.reset();
    }

    /** Records that no probes follow: callers no longer wait for them. */
    stopProbing(): void {
        this.reset();
    }

    /** Resolves when the last probe was answered, or after a limited time. */
    waitUntilAvailable(): Promise<void> {
        if (this.failures === 0) {
            return Promise.resolve();
        }
        return new Promise(resolve => {
            const timer = this.clock.schedule(MAX_WAIT_MS, () => finish());
            const finish = () => {
                timer.cancel();
                this.waiting.delete(finish);
                resolve();
            };
            this.waiting.add(finish);
        });
    }

    private reset(): void {
        this.failures = 0;
        [...this.waiting].forEach(finish => finish());
    }
}
