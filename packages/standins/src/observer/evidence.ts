import type { CallerEntry } from "../caller/callerEntry.js";
import type { Ownership } from "./ownership.js";
import type { Run } from "./run.js";

/** All that the observer goes by. */
export type Evidence = {
    readonly ownerships: readonly Ownership[];
    readonly runs: readonly Run[];
    readonly calls: readonly CallerEntry[];
    /** Names of journals that have lost entries. */
    readonly truncated: readonly string[];
};
