import type { Session } from "./session.js";

/** Everything that the observer may see of a session. */
export function getEvidence(session: Session) {
    return { journal: session.journal, callers: session.callers.log, commits: session.table.journal };
}
