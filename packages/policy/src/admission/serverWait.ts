import type { Milliseconds } from "@arbutusdoor/common";

/**
 * What was observed of a queue counts for half after this time: full queues empty in 0.5 to 1.2 s. In trials, 1 s and 2 s refused
 * more and served less in time; 0.3 s was no better.
 */
const HALF_LIFE_MS = 500;
/** Weight of the newest answer. */
const NEWEST_WEIGHT = 0.4;
/**
 * A server whose answers of the last second waited for less than this part of a full queue has none: it refuses requests for another reason, and
 * the same request may be taken a moment later. Without this, hosts refused a quarter of all requests for servers that shed half of them at random.
 */
const FULL_QUEUE_SHARE = 0.25;
const EVIDENCE_MS = 1_000;
/** A server counts as shedding until this long after its last refusal. */
const SHEDDING_MS = 2_000;

/** Estimates how long a request waits at one server before it starts. */
export class ServerWait {
    private waitMs: Milliseconds = 0;
    private updatedAt: Milliseconds = 0;
    private shedAt: Milliseconds = -Infinity;
    private answeredAt: Milliseconds = -Infinity;
    /** Mean wait of the last answers. */
    private answerWaitMs: Milliseconds = 0;

    /** Returns the expected wait, which approaches 0 while nothing is observed. */
    get(now: Milliseconds): Milliseconds {
        return this.waitMs * 2 ** ((this.updatedAt - now) / HALF_LIFE_MS);
    }

    /** Whether the server has shed a request recently. */
    isShedding(now: Milliseconds): boolean {
        return now - this.shedAt < SHEDDING_MS;
    }

    /** Whether the server has answered or shed a request recently. */
    isActive(now: Milliseconds): boolean {
        return now - Math.max(this.shedAt, this.answeredAt) < SHEDDING_MS;
    }

    /** Records answers, given the mean of their durations. */
    recordAnswers(durationMs: Milliseconds, workMs: Milliseconds, count: number, now: Milliseconds): void {
        const kept = (1 - NEWEST_WEIGHT) ** count;
        const observed = Math.max(0, durationMs - workMs);
        this.set(kept * this.get(now) + (1 - kept) * observed, now);
        this.answerWaitMs = kept * this.answerWaitMs + (1 - kept) * observed;
        this.answeredAt = now;
    }

    /** Records that a request got no answer within a time. */
    recordUnanswered(durationMs: Milliseconds, workMs: Milliseconds, now: Milliseconds): void {
        this.set(Math.max(this.get(now), durationMs - workMs), now);
    }

    /**
     * Records that the server shed a request: its queue is full and needs `drainMs` to empty, unless its answers contradict that. Returns whether
     * it counts as shedding.
     */
    recordShed(drainMs: Milliseconds, now: Milliseconds): boolean {
        if (now - this.answeredAt < EVIDENCE_MS && this.answerWaitMs < FULL_QUEUE_SHARE * drainMs) {
            return false;
        }
        this.set(Math.max(this.get(now), drainMs), now);
        this.shedAt = now;
        return true;
    }

    /** Replaces the estimate by one that is based on the observations of all hosts. */
    replace(waitMs: Milliseconds, isShedding: boolean, now: Milliseconds): void {
        this.set(waitMs, now);
        if (isShedding) {
            this.shedAt = now;
        }
    }

    private set(waitMs: Milliseconds, now: Milliseconds): void {
        this.waitMs = waitMs;
        this.updatedAt = now;
    }
}
