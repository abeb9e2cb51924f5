import type { Disruption } from "./disruption.js";

/** How it is judged whether hosts obey what servers say of themselves in their answers. */
export type NoticeJudgement = {
    /** Time in ms for which a leaving server may get requests from a host that has passed on its word. */
    readonly drainMs: number;
    /** Faults of hosts, named as callers name them, and of servers; what they touch is not judged. */
    readonly disruptions: readonly Disruption[];
};
