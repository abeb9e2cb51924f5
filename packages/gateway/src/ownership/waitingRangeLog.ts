import type { Logger, Milliseconds, ServiceId } from "@arbutusdoor/common";
import { getHolderName } from "./getHolderName.js";
import type { WaitingRange } from "./waitingRange.js";

/** A move normally ends with the work that runs on the keys, well within this time. */
const REVIEW_MS = 1_000;
/** Earlier owners that one line names. */
const MAX_NAMED = 6;

/** Logs, once a second, the ranges that have waited for their earlier owners since the review before. */
export class WaitingRangeLog {
    private readonly service: ServiceId;
    private readonly logger: Logger;
    private nextReviewAt: Milliseconds = -Infinity;
    /** When each range was first found waiting, by first key and fencing token; bounded by the number of ranges. */
    private waitingSince = new Map<string, Milliseconds>();
    private latest = 0;

    constructor(service: ServiceId, logger: Logger) {
        this.service = service;
        this.logger = logger;
    }

    /** The number of ranges that waited at the last review. */
    get count(): number {
        return this.latest;
    }

    /** Reviews the ranges when it is due. */
    review(listWaiting: (now: Milliseconds) => readonly WaitingRange[], now: Milliseconds): void {
        if (now < this.nextReviewAt) {
            return;
        }
        this.nextReviewAt = now + REVIEW_MS;
        const waiting = listWaiting(now);
        const getName = ({ range }: WaitingRange) => `${range.first}/${range.fence}`;
        const before = this.waitingSince;
        this.waitingSince = new Map(waiting.map(each => [getName(each), before.get(getName(each)) ?? now]));
        this.latest = waiting.length;
        const delayed = waiting.filter(each => before.has(getName(each)));
        if (delayed.length === 0) {
            return;
        }
        const holders = new Set(delayed.flatMap(each => each.holders.map(getHolderName)));
        this.logger.log("keysWaiting", {
            service: this.service,
            ranges: delayed.length,
            keys: delayed.reduce((total, { range }) => total + range.last - range.first + 1, 0),
            longestMs: Math.round(now - Math.min(...this.waitingSince.values())),
            owners: holders.size,
            named: [...holders].slice(0, MAX_NAMED).join(" "),
        });
    }
}
