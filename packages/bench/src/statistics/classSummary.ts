/** Outcomes of one class of requests. Latencies in ms are of answers, at the entry host. */
export type ClassSummary = {
    readonly requests: number;
    /** Answers within their deadline. */
    readonly good: number;
    readonly refused: number;
    readonly unknown: number;
    readonly p50: number;
    readonly p99: number;
    readonly p999: number;
};
