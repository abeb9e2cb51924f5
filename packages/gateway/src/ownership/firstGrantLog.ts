import type { Logger, Milliseconds, ServiceId } from "@arbutusdoor/common";
import type { KeyOrder } from "./keyOrder.js";
import type { StopProof } from "./stopProof.js";

/** First grants of this long go into one line: the ranges of one commit follow each other by the answers to their releases. */
const PERIOD_MS = 200;
/** Earlier owners of each cause that are named in a line. */
const NAMED_LIMIT = 4;

/** Tells which ranges got the first grant of a fence, and why their earlier owners counted as cleared; one line for many ranges. */
export class FirstGrantLog {
    private readonly service: ServiceId;
    private readonly logger: Logger;
    private begunAt: Milliseconds | undefined;
    private ranges = 0;
    private fromFence = Infinity;
    private toFence = 0;
    private without = 0;
    private counts = { released: 0, dead: 0, lapsed: 0, unsent: 0 };
    private inherited = 0;
    private oldestMs = -Infinity;
    private newestMs = Infinity;
    /** First keys of ranges by earlier owners that neither answered nor are proved dead. */
    private named = { lapsed: new Map<string, string>(), unsent: new Map<string, string>() };

    constructor(service: ServiceId, logger: Logger) {
        this.service = service;
        this.logger = logger;
    }

    /** Takes orders in that are sent now. */
    add(orders: readonly KeyOrder[], now: Milliseconds): void {
        for (const { stopProofs: clearances, fence, first } of orders) {
            if (clearances) {
                this.begunAt ??= now;
                this.ranges++;
                this.fromFence = Math.min(this.fromFence, fence);
                this.toFence = Math.max(this.toFence, fence);
                this.without += clearances.length === 0 ? 1 : 0;
                clearances.forEach(clearance => this.addClearance(clearance, first));
            }
        }
    }

    /** Writes the line once its time has come. */
    flush(now: Milliseconds): void {
        if (this.begunAt === undefined || now - this.begunAt < PERIOD_MS) {
            return;
        }
        const { counts, fromFence, inherited, named, newestMs, oldestMs, ranges, service, toFence, without } =
            this;
        this.logger.log("keysGranted", {
            service,
            ranges,
            fromFence,
            toFence,
            without,
            ...counts,
            inherited,
            oldestGrantMs: counts.lapsed > 0 ? Math.round(oldestMs) : undefined,
            newestGrantMs: counts.lapsed > 0 ? Math.round(newestMs) : undefined,
            lapsedOwners: [...named.lapsed.values()].join(" ") || undefined,
            unsentOwners: [...named.unsent.values()].join(" ") || undefined,
        });
        this.reset();
    }

    private addClearance({ cause, grantAgeMs, holder, isInherited }: StopProof, first: number): void {
        this.counts[cause]++;
        this.inherited += isInherited ? 1 : 0;
        if (grantAgeMs !== undefined) {
            this.oldestMs = Math.max(this.oldestMs, grantAgeMs);
            this.newestMs = Math.min(this.newestMs, grantAgeMs);
        }
        if (cause === "lapsed" || cause === "unsent") {
            const named = this.named[cause];
            if (!named.has(holder.id) && named.size < NAMED_LIMIT) {
                named.set(holder.id, `${holder.id}@${first}`);
            }
        }
    }

    private reset(): void {
        this.begunAt = undefined;
        this.ranges = 0;
        this.fromFence = Infinity;
        this.toFence = 0;
        this.without = 0;
        this.counts = { released: 0, dead: 0, lapsed: 0, unsent: 0 };
        this.inherited = 0;
        this.oldestMs = -Infinity;
        this.newestMs = Infinity;
        this.named = { lapsed: new Map(), unsent: new Map() };
    }
}
