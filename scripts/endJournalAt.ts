import type { ServerJournal } from "@arbutusdoor/standins";

/** The journal of a server that was killed at a wall-clock time: it owns and runs nothing after it. */
export function endJournalAt(journal: ServerJournal, time: number): ServerJournal {
    const entries = journal.entries.map(entry => {
        switch (entry.kind) {
            case "owned":
                return { ...entry, until: Math.min(entry.until, time) };
            case "run":
                return { ...entry, ended: entry.ended ?? time };
            default:
                return entry;
        }
    });
    return { ...journal, entries };
}
