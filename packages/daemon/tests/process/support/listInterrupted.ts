import type { CallerEntry } from "@arbutusdoor/standins";

/** Lists the calls that ended without a complete answer. */
export function listInterrupted(entries: readonly CallerEntry[]): readonly CallerEntry[] {
    return entries.filter(({ outcome }) => outcome === "none" || outcome === "broken");
}
