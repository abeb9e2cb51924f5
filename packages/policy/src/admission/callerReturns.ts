import type { Milliseconds } from "@arbutusdoor/common";
import type { CallerReturn } from "./callerReturn.js";
import { EARLIEST_RETURN_MS } from "./earliestReturnMs.js";

/** Deadlines are remembered for one to two times this long. */
const WINDOW_MS = 10_000;
/** A deadline shorter than the usual by less than this share, and less than the minimum below, belongs to a first attempt. */
const TOLERANCE = 0.01;
const MIN_TOLERANCE_MS = 20;
/** Callers that wait come back at most twice. */
const RETURNS_PER_REQUEST = 2;
/** A surplus of first attempts counts for at most this many returns, so that it cannot be saved up for long. */
const MAX_CREDIT = 20;

/**
 * Tells the first attempts of one route's callers from later ones by how much less time these leave than is usual for the route. The
 * usual time is the longest of the last 10 to 20 s.
 */
export class CallerReturns {
    private windowStart: Milliseconds = -Infinity;
    private longest: Milliseconds = 0;
    private longestBefore: Milliseconds = 0;
    private credit = MAX_CREDIT;

    /**
     * Records a request.
     *
     * A caller that repeats at once and often is one whose time is only a little shorter, or one of more returns than callers that wait
     * can make.
     */
    record(timeLeft: Milliseconds, now: Milliseconds): CallerReturn {
        if (now - this.windowStart >= WINDOW_MS) {
            const isAdjacent = now - this.windowStart < 2 * WINDOW_MS;
            this.longestBefore = isAdjacent ? this.longest : 0;
            this.longest = 0;
            this.windowStart = now;
        }
        this.longest = Math.max(this.longest, timeLeft);
        const usual = Math.max(this.longest, this.longestBefore);
        const missing = usual - timeLeft;
        if (missing <= Math.max(MIN_TOLERANCE_MS, TOLERANCE * usual)) {
            this.credit = Math.min(MAX_CREDIT, this.credit + RETURNS_PER_REQUEST);
            return { kind: "first", elapsedMs: 0 };
        }
        if (missing < EARLIEST_RETURN_MS || this.credit < 1) {
            return { kind: "repeated", elapsedMs: missing };
        }
        this.credit--;
        return { kind: "returned", elapsedMs: missing };
    }
}
