import type { Finding } from "./finding.js";

/** What the observer concludes. */
export type Verdict = {
    /** Whether nothing was found and no journal has lost entries. */
    readonly isClean: boolean;
    readonly findings: readonly Finding[];
    /** Why the evidence may hide faults. */
    readonly gaps: readonly string[];
    /** `broken` are answers that broke off in a way that their callers could see. */
    readonly counts: Readonly<Record<"ownerships" | "runs" | "filings" | "calls" | "broken", number>>;
    /** Time in ms by which two readings of the wall clock may differ. */
    readonly toleranceMs: number;
};
