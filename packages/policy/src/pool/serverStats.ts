import type { Milliseconds } from "@arbutusdoor/common";

/** What an entry host has seen of one server. */
export type ServerStats = {
    /** Requests sent and not yet ended. */
    outstanding: number;
    /** Running mean of the latency; `undefined` before the first answer. */
    latencyMs: Milliseconds | undefined;
    /** Answers since the server was first seen or came back. */
    answers: number;
    /** Requests of unknown outcome in a row. */
    failures: number;
    /** Refusals in a row. */
    sheds: number;
    /** Time of the last sign of progress: an end of a request, or the start of one on an idle server. */
    progressAt: Milliseconds;
    /** No request goes there before this time, because the server refused one. */
    pausedUntil: Milliseconds;
    /** Left out until this time; `undefined` when not left out. */
    ejectedUntil: Milliseconds | undefined;
    /** Times in a row that it was left out. */
    ejections: number;
    /** Start of the one request that tries a left-out server again; `undefined` when none is under way. */
    probeStartedAt: Milliseconds | undefined;
    /** Requests that the server may have outstanding, for pickers that adapt it. */
    credit: number;
};
