import type { Milliseconds } from "@arbutusdoor/common";
import type { PoolRequest } from "../pool/poolRequest.js";
import { getSpillThreshold } from "./getSpillThreshold.js";
import { ShortageMeter } from "./shortageMeter.js";
import type { SpillState } from "./spillState.js";

/** Rise in a second at full shortage: a queue fills within about a second, and leaving has to drain it as well as to keep it short. */
const RISE_PER_S = 0.5;
/** The share falls when the shortage is below this part of its threshold; below the whole threshold if a local server is expected in time. */
const FALL_BELOW = 0.5;
/** A few seconds: a lasting shortage does not return with each fall. */
const FALL_MS = 3_000;
/** Part of the requests that stays, so that the end of a shortage is noticed. */
const MAX_SHARE = 0.9;
/** Share after several setbacks in a row, until leaving is worth it again: what leaves meanwhile only finds that out. */
const TRIAL_SHARE = 0.05;
const MAX_SETBACKS = 2;
/** Requests elsewhere without an answer within the target: one may have met a slow machine, several a partition. */
const MAX_OVERDUE = 2;
/** A smaller share is none. */
const MIN_SHARE = 0.01;
/** The share after a refusal elsewhere, relative to that before. */
const REFUSED_FACTOR = 0.25;
/** The share after an answer from elsewhere that gained nothing, relative to that before. */
const NO_GAIN_FACTOR = 0.5;
/** Time without rises after either; twice as long after each in a row. */
const FIRST_HOLD_MS = 500;
const MAX_HOLD_MS = 8_000;
/** A host without requests for longer has learned nothing meanwhile. */
const MAX_STEP_MS = 500;
const NEWEST_WEIGHT = 0.1;

/** Decides which share of one route's requests leaves, while no local server is expected to answer them in time. */
export class SpillShare {
    readonly local = new ShortageMeter();
    readonly remote = new ShortageMeter();
    private share = 0;
    private shortage = 0;
    private updatedAt: Milliseconds | undefined;
    private heldUntil: Milliseconds = -Infinity;
    private setbacks = 0;
    private meanBytes = 0;

    get state(): SpillState {
        return { share: this.share, shortage: this.shortage };
    }

    /** Returns how much sooner another data centre has to answer. */
    getGain({ priority, targetMs }: PoolRequest): Milliseconds {
        return targetMs * getSpillThreshold(this.meanBytes, priority).gain;
    }

    /**
     * Adapts the share to the time that has passed, and returns it.
     *
     * @param localMs shortest expected time of a local server
     */
    update({ priority, targetMs }: PoolRequest, localMs: Milliseconds, now: Milliseconds): number {
        const elapsed = Math.min(MAX_STEP_MS, now - (this.updatedAt ?? now));
        this.updatedAt = now;
        this.shortage = this.local.getShare(targetMs, now);
        const elsewhere = this.remote.getShare(targetMs, now);
        const { shortage: threshold } = getSpillThreshold(this.meanBytes, priority);
        const excess = (this.shortage - elsewhere - threshold) / (1 - threshold);
        const fallBelow = threshold * (localMs <= targetMs ? 1 : FALL_BELOW);
        if (this.share > 0 && now >= this.heldUntil && this.isNoBetter(elsewhere, threshold, targetMs, now)) {
            this.recordRemote("gainedNothing", now);
        }
        else if (this.shortage - elsewhere < fallBelow) {
            this.share *= Math.exp(-elapsed / FALL_MS);
            this.share = this.share < MIN_SHARE ? 0 : this.share;
        }
        else if (now >= this.heldUntil && excess > 0) {
            const rise = RISE_PER_S * excess * elapsed / (1_000 * (1 + priority));
            const limit = this.setbacks >= MAX_SETBACKS ? TRIAL_SHARE : MAX_SHARE;
            this.share = Math.min(limit, Math.max(MIN_SHARE, this.share) + rise);
        }
        return this.share;
    }

    recordBytes(bytes: number): void {
        this.meanBytes = this.meanBytes === 0
            ? bytes
            : this.meanBytes + NEWEST_WEIGHT * (bytes - this.meanBytes);
    }

    /** Records how a request that left has ended: the share falls at once unless that was worth it. */
    recordRemote(end: "gained" | "gainedNothing" | "refused", now: Milliseconds): void {
        if (end === "gained") {
            this.setbacks = 0;
            return;
        }
        this.share *= end === "refused" ? REFUSED_FACTOR : NO_GAIN_FACTOR;
        this.share = this.share < MIN_SHARE ? 0 : this.share;
        this.heldUntil = now + Math.min(MAX_HOLD_MS, FIRST_HOLD_MS * 2 ** this.setbacks);
        this.setbacks++;
    }

    private isNoBetter(
        elsewhere: number,
        threshold: number,
        targetMs: Milliseconds,
        now: Milliseconds,
    ): boolean {
        return this.remote.getOverdue(targetMs, now) >= MAX_OVERDUE
            || (elsewhere > threshold && elsewhere >= this.shortage);
    }
}
