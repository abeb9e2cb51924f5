import type { CallerEntry } from "@arbutusdoor/standins";

/** Calls that were cut off: without a whole answer, although no process was lost. */
export function listInterrupted(entries: readonly CallerEntry[]): readonly CallerEntry[] {
    return entries.filter(({ outcome }) => outcome === "none" || outcome === "broken");
}
