/** Limits of one pool of connections. */
export type PoolLimits = {
    readonly connections: number;
    readonly connectTimeoutMs: number;
    /** Time in ms that an unused connection is kept; shorter than servers keep theirs. */
    readonly idleTimeoutMs: number;
    /** Whether connections may be opened now; asked before and after each is opened. */
    readonly mayConnect?: () => boolean;
};
