import type { Milliseconds } from "@arbutusdoor/common";
import type { SiteTimes } from "./siteTimes.js";

/** Weights of an answer that was faster or slower than usual: together they keep the usual time near the fastest fifth, free of queueing. */
const FASTER_WEIGHT = 0.3;
const SLOWER_WEIGHT = 0.03;
/** Weight of the newest answer in the present ratio: machines change speed several times between two answers of a server to one host. */
const NEWEST_WEIGHT = 0.5;
/** Half a second to a second after an answer, a queue or a slow machine has changed. */
const MEMORY_MS = 800;
/**
 * What is usual for a server is forgotten in this time for each of its answers: one that was slow gets no requests, and has to be tried again.
 * A first answer may come from a moment when the machine is slow, and counts little.
 */
const USUAL_MEMORY_MS = 2_000;
const MAX_ANSWERS = 10;
/** Refusals in a row after which the memory of them grows no more. */
const MAX_REFUSALS = 9;
/** A server that refuses has a full queue, which is several times its slots. */
const REFUSED_RATIO = 5;

/** Estimates how long one server takes, from this host's requests to it. */
export class ServerTimes {
    private usual: Milliseconds | undefined;
    private answers = 0;
    private ratio = 1;
    /** Refusals in a row. */
    private refusals = 0;
    private recordedAt: Milliseconds = -Infinity;
    /** Start times of the outstanding requests. */
    private readonly starts: Milliseconds[] = [];

    /** Time of an answer when the server has no queue; `undefined` before the first answer. */
    get usualMs(): Milliseconds | undefined {
        return this.usual;
    }

    get outstanding(): number {
        return this.starts.length;
    }

    /** Returns for how long the oldest outstanding request has had no answer. */
    getOldestAge(now: Milliseconds): Milliseconds {
        return this.starts.length === 0 ? 0 : now - Math.min(...this.starts);
    }

    recordStart(now: Milliseconds): void {
        this.starts.push(now);
    }

    /** Records that a request that was sent at about the given time has ended. */
    recordEnd(startedAt: Milliseconds): void {
        let nearest = 0;
        this.starts.forEach((start, index) => {
            if (Math.abs(start - startedAt) < Math.abs(this.starts[nearest]! - startedAt)) {
                nearest = index;
            }
        });
        this.starts.splice(nearest, 1);
    }

    /**
     * Records the time of an answer, also in the times of the server's data centre.
     *
     * @param usualMs usual time of the service's servers
     */
    recordAnswer(
        durationMs: Milliseconds,
        usualMs: Milliseconds | undefined,
        site: SiteTimes,
        now: Milliseconds,
    ): void {
        const usual = usualMs === undefined ? this.usual ?? durationMs : this.getUsual(usualMs, now);
        const forgotten = this.answers === 0 ? 0 : 1 - this.getMemory(now);
        // After a long time the answer counts nearly alone; the square keeps the weights while answers come regularly.
        const weight = Math.max(durationMs < usual ? FASTER_WEIGHT : SLOWER_WEIGHT, forgotten ** 2);
        this.usual = Math.max(1, usual + weight * (durationMs - usual));
        this.answers = Math.min(MAX_ANSWERS, this.answers + 1);
        const ratio = durationMs / this.usual;
        const before = this.getRatio(site, now);
        site.recordAnswer(ratio, now);
        this.ratio = before + NEWEST_WEIGHT * (ratio - before);
        this.recordedAt = now;
        this.refusals = 0;
    }

    recordRefusal(site: SiteTimes, now: Milliseconds): void {
        this.ratio = Math.max(REFUSED_RATIO, this.getRatio(site, now));
        this.refusals = Math.min(MAX_REFUSALS, this.refusals + 1);
        this.recordedAt = now;
    }

    /**
     * Returns how long a request would take that is sent now.
     *
     * @param slots requests that the server runs at a time
     * @param usualMs usual time of the service's servers
     * @param expectedStartMs how long it would wait for a slot by the server's report, if there is one. The host's own observation of a
     *   refusal or a missing answer takes precedence, since a report may be outdated or false.
     */
    getExpected(
        { expectedStartMs, slots, site, usualMs, now }: {
            readonly expectedStartMs: Milliseconds | undefined;
            readonly slots: number;
            readonly site: SiteTimes;
            readonly usualMs: Milliseconds;
            readonly now: Milliseconds;
        },
    ): Milliseconds {
        const usual = this.getUsual(usualMs, now);
        const ratio = this.getRatio(site, now);
        const isReportUsed = expectedStartMs !== undefined && ratio < REFUSED_RATIO / 2;
        const observed = isReportUsed ? usual + expectedStartMs : usual * ratio;
        const ownQueue = Math.max(0, this.starts.length + 1 - slots) / slots * usual;
        return Math.max(observed + ownQueue, this.getOldestAge(now));
    }

    private getUsual(usualMs: Milliseconds, now: Milliseconds): Milliseconds {
        return this.usual === undefined ? usualMs : usualMs + (this.usual - usualMs) * this.getMemory(now);
    }

    /** Returns how much of what is usual for the server is not forgotten. */
    private getMemory(now: Milliseconds): number {
        return Math.exp(-(now - this.recordedAt) / (USUAL_MEMORY_MS * Math.max(1, this.answers)));
    }

    private getRatio(site: SiteTimes, now: Milliseconds): number {
        const usual = site.getRatio(now);
        return usual
            + (this.ratio - usual) * Math.exp(-(now - this.recordedAt) / (MEMORY_MS * (1 + this.refusals)));
    }
}
