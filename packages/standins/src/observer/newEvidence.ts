import type { CallerEntry } from "../caller/callerEntry.js";
import type { Evidence } from "./evidence.js";
import type { Ownership } from "./ownership.js";
import type { Run } from "./run.js";
import type { ServerJournal } from "./serverJournal.js";

/** Puts journals and callers' logs together. A run without an end lasts for ever. */
export function newEvidence(journals: readonly ServerJournal[], calls: readonly CallerEntry[]): Evidence {
    return {
        ownerships: journals.flatMap(getOwnerships),
        runs: journals.flatMap(getRuns),
        calls,
        truncated: journals.filter(journal => journal.dropped > 0).map(getHolder),
    };
}

function getHolder(journal: ServerJournal): string {
    return `${journal.server}/${journal.incarnation}`;
}

function getOwnerships(journal: ServerJournal): Ownership[] {
    const holder = getHolder(journal);
    return journal.entries
        .filter(entry => entry.kind === "owned")
        .map(({ slice, generation, from, until }) => ({ holder, slice, generation, from, until }));
}

function getRuns(journal: ServerJournal): Run[] {
    const holder = getHolder(journal);
    return journal.entries.filter(entry => entry.kind === "run").map(entry => ({
        holder,
        requestId: entry.requestId,
        idempotencyKey: entry.idempotencyKey,
        slice: entry.slice,
        generation: entry.generation,
        path: entry.path,
        from: entry.started,
        until: entry.ended ?? Number.POSITIVE_INFINITY,
        result: entry.result,
    }));
}
