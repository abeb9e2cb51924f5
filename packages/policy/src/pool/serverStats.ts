import type { Milliseconds } from "@arbutusdoor/common";

/** What a host has recorded of one server. */
export type ServerStats = {
    /** Requests sent and not yet ended. */
    outstanding: number;
    /** Running mean of the latency; `undefined` before the first answer. */
    latencyMs: Milliseconds | undefined;
    /** Answers since the server was first used or its last ejection ended. */
    answers: number;
    /** Requests of unknown outcome in a row. */
    failures: number;
    /** Refusals in a row. */
    sheds: number;
    /** Time of the last progress: an answer, a refusal, or the start of a request on an idle server. */
    progressAt: Milliseconds;
    /** No request goes there before this time, because the server refused one. */
    pausedUntil: Milliseconds;
    /** Ejected until this time; `undefined` when not ejected. */
    ejectedUntil: Milliseconds | undefined;
    /** Ejections in a row. */
    ejections: number;
    /** Start of the one request that probes an ejected server; `undefined` when none is in progress. */
    probeStartedAt: Milliseconds | undefined;
    /** Requests that the server may have outstanding, for pickers that adapt this number. */
    credit: number;
};
