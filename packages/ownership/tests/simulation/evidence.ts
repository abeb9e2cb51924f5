import type { CallerEntry } from "./callerEntry.js";
import type { CommittedRow } from "./committedRow.js";
import type { ServerEntry } from "./serverEntry.js";

/** What `findViolations` checks: journals of the servers, logs of the callers, and commits of the table. */
export type Evidence = {
    readonly journal: readonly ServerEntry[];
    readonly callers: readonly CallerEntry[];
    readonly commits: readonly CommittedRow[];
};
