import type { Milliseconds } from "@arbutusdoor/common";

/** Weight of the newest answer. One host gets about five answers a second from a service, so that a queue shows within about a second. */
const NEWEST_WEIGHT = 0.15;
/** Without answers, a queue is assumed to be gone after a few times this. */
const MEMORY_MS = 3_000;
/** A single answer counts as at most this many times the usual. */
const MAX_RATIO = 10;

/** How much longer than usual the servers of one data centre take at the moment. They share their load, and so also their queues. */
export class SiteTimes {
    private ratio = 1;
    private recordedAt: Milliseconds = 0;

    /** Returns the present answer time relative to the usual. */
    getRatio(now: Milliseconds): number {
        return 1 + (this.ratio - 1) * Math.exp(-Math.max(0, now - this.recordedAt) / MEMORY_MS);
    }

    /** Records the time of an answer relative to what is usual for its server. */
    recordAnswer(ratio: number, now: Milliseconds): void {
        const before = this.getRatio(now);
        this.ratio = before + NEWEST_WEIGHT * (Math.min(MAX_RATIO, ratio) - before);
        this.recordedAt = now;
    }
}
