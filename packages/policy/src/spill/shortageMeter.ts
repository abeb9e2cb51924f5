import type { Milliseconds } from "@arbutusdoor/common";

/** Results count for about this long: ten requests of a host that has five a second. */
const WINDOW_MS = 2_000;
/** Results that are assumed to have been in time, so that a single late one is no shortage. */
const ASSUMED_IN_TIME = 2;
const MAX_STARTS = 1_024;

/** Measures which share of a route's requests its local servers refuse or answer beyond the target latency. */
export class ShortageMeter {
    private short = 0;
    private total = 0;
    private countedAt: Milliseconds = 0;
    /** Start times of the outstanding requests. */
    private readonly starts: Milliseconds[] = [];

    /** Returns the share, with the requests that have been outstanding for longer than the target. */
    getShare(targetMs: Milliseconds, now: Milliseconds): number {
        this.fade(now);
        const overdue = this.getOverdue(targetMs, now);
        return (this.short + overdue) / (this.total + overdue + ASSUMED_IN_TIME);
    }

    /** Returns how many requests have been outstanding for longer than the target. */
    getOverdue(targetMs: Milliseconds, now: Milliseconds): number {
        return this.starts.reduce((sum, start) => sum + (now - start > targetMs ? 1 : 0), 0);
    }

    recordStart(now: Milliseconds): void {
        if (this.starts.length < MAX_STARTS) {
            this.starts.push(now);
        }
    }

    /** Records that a request that was sent at about the given time has ended; `undefined` when that says nothing about its server. */
    recordEnd(startedAt: Milliseconds, isInTime: boolean | undefined, now: Milliseconds): void {
        const index = this.starts.findIndex(start => start >= startedAt - 1);
        this.starts.splice(Math.max(0, index), 1);
        if (isInTime !== undefined) {
            this.fade(now);
            this.total++;
            this.short += isInTime ? 0 : 1;
        }
    }

    private fade(now: Milliseconds): void {
        const factor = Math.exp(-Math.max(0, now - this.countedAt) / WINDOW_MS);
        this.short *= factor;
        this.total *= factor;
        this.countedAt = now;
    }
}
