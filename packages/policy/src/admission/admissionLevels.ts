import type { Milliseconds } from "@arbutusdoor/common";
import type { CallerReturn } from "./callerReturn.js";

/** Rise of the pressure with a shed request, at most once in the interval, so that it does not depend on how many hosts report. */
const RISE = 0.2;
const RISE_INTERVAL_MS = 100;
/** Fall of the pressure in a second, from this long after the last shed request on. */
const FALL_PER_S = 0.1;
const HOLD_MS = 1_000;
/** Kinds are limited from the first pressure on, until it has fallen to the second. */
const LIMIT_FROM = 0.3;
const LIMIT_UNTIL = 0.1;
/**
 * Lowest share of a kind that is admitted. No kind may be served less than a quarter as often as all requests; the rest is a margin for
 * those that are refused for other reasons.
 */
const MIN_SHARE = 0.3;
/** A kind without requests for this long leaves the order of kinds. */
const KIND_MEMORY_MS = 10_000;
const MAX_KINDS = 64;
const MS_PER_S = 1_000;

/** When a request of a kind last arrived, and the target latency of the kind. */
type Kind = { readonly seenAt: Milliseconds; readonly targetMs: Milliseconds; };

/**
 * The share of each kind of request (by priority) that is admitted at a server, or at a service as a whole. It falls with each request
 * that is shed, the least urgent kind first, and rises slowly. The most urgent kind is limited by what servers shed alone.
 */
export class AdmissionLevels {
    private pressure = 0;
    private updatedAt: Milliseconds = 0;
    private shedAt: Milliseconds = -Infinity;
    private raisedAt: Milliseconds = -Infinity;
    private isOn = false;
    /** Kinds by priority. */
    private readonly kinds = new Map<number, Kind>();

    /** Whether shares are limited. */
    isLimiting(now: Milliseconds): boolean {
        this.update(now);
        return this.isOn;
    }

    /** Returns the pressure, from 0 (none) to 1. */
    getPressure(now: Milliseconds): number {
        this.update(now);
        return this.pressure;
    }

    /** Records that a request was shed. */
    recordShed(now: Milliseconds): void {
        this.update(now);
        if (now - this.raisedAt >= RISE_INTERVAL_MS) {
            this.pressure = Math.min(1, this.pressure + RISE);
            this.raisedAt = now;
        }
        this.shedAt = now;
        this.update(now);
    }

    /** Raises the pressure to that which follows from the observations of all hosts. */
    raise(pressure: number, now: Milliseconds): void {
        this.update(now);
        if (pressure > this.pressure) {
            this.pressure = Math.min(1, pressure);
            this.shedAt = now;
            this.update(now);
        }
    }

    /** Records that a request of a kind arrived. */
    recordKind(priority: number, targetMs: Milliseconds, now: Milliseconds): void {
        this.kinds.delete(priority);
        this.kinds.set(priority, { seenAt: now, targetMs });
        if (this.kinds.size > MAX_KINDS) {
            const [oldest] = this.kinds.keys();
            this.kinds.delete(oldest!);
        }
    }

    /**
     * Returns the latency beyond which requests of a kind give way as late: its target, or that of a less urgent kind if this is longer.
     * Otherwise a server would serve a less urgent kind and refuse a more urgent one.
     */
    getLatencyLimit(priority: number, now: Milliseconds): Milliseconds {
        const targets = this.listKinds(now).filter(([other]) => other >= priority).map(([, { targetMs }]) =>
            targetMs
        );
        return Math.max(0, ...targets);
    }

    /** Returns the share of the requests of a kind that is admitted. */
    getShare(priority: number, caller: CallerReturn["kind"], now: Milliseconds): number {
        this.update(now);
        if (!this.isOn) {
            return 1;
        }
        if (caller === "repeated") {
            return MIN_SHARE;
        }
        const recent = this.listKinds(now);
        const lessUrgent = recent.filter(([other]) => other > priority).length;
        const position = caller === "returned" ? lessUrgent + 1 / 2 : lessUrgent;
        const cut = this.pressure * (recent.length - 1) - position;
        return Math.max(MIN_SHARE, 1 - Math.max(0, cut));
    }

    private listKinds(now: Milliseconds): readonly (readonly [number, Kind])[] {
        return [...this.kinds].filter(([, { seenAt }]) => now - seenAt < KIND_MEMORY_MS);
    }

    private update(now: Milliseconds): void {
        const from = Math.max(this.updatedAt, this.shedAt + HOLD_MS);
        if (now > from) {
            this.pressure = Math.max(0, this.pressure - (now - from) / MS_PER_S * FALL_PER_S);
        }
        this.updatedAt = now;
        this.isOn = this.isOn ? this.pressure > LIMIT_UNTIL : this.pressure >= LIMIT_FROM;
    }
}
