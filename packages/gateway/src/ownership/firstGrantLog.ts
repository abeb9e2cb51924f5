import type { Logger, Milliseconds, ServiceId } from "@arbutusdoor/common";
import type { KeyOrder } from "./keyOrder.js";
import type { StopProof } from "./stopProof.js";

/**
 * First grants within this period share one log line: the ranges of one commit are granted one after the other, as their releases are
 * answered.
 */
const PERIOD_MS = 200;
/** Maximum number of earlier owners that a line names per cause. */
const NAMED_LIMIT = 4;

/**
 * Logs which ranges got their first grant under a fencing token, and the proofs that their earlier owners had stopped. One line covers many
 * ranges.
 */
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
    /** For earlier owners that neither answered a release nor are proved dead: the owner and the first key of one of its ranges. */
    private named = { lapsed: new Map<string, string>(), unsent: new Map<string, string>() };

    constructor(service: ServiceId, logger: Logger) {
        this.service = service;
        this.logger = logger;
    }

    /** Records orders that are sent now. */
    add(orders: readonly KeyOrder[], now: Milliseconds): void {
        for (const { stopProofs, fence, first } of orders) {
            if (stopProofs) {
                this.begunAt ??= now;
                this.ranges++;
                this.fromFence = Math.min(this.fromFence, fence);
                this.toFence = Math.max(this.toFence, fence);
                this.without += stopProofs.length === 0 ? 1 : 0;
                stopProofs.forEach(stopProof => this.addStopProof(stopProof, first));
            }
        }
    }

    /** Writes the line once its period is over. */
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

    private addStopProof({ cause, grantAgeMs, holder, isInherited }: StopProof, first: number): void {
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
