import type { Evidence } from "./evidence.js";
import type { Finding } from "./finding.js";
import { groupBy } from "./groupBy.js";
import { listOverlaps } from "./listOverlaps.js";
import type { Ownership } from "./ownership.js";

/**
 * Slices that two servers owned at one moment, and generations that came after a later one.
 * @param tolerance time in ms by which two readings of the wall clock may differ
 */
export function findOwnershipFaults(evidence: Evidence, tolerance: number): readonly Finding[] {
    return [...groupBy(evidence.ownerships, ownership => ownership.slice)].flatMap(([slice, ownerships]) => [
        ...findTwoOwners(slice, ownerships, tolerance),
        ...findOldGenerations(slice, ownerships, tolerance),
    ]);
}

function findTwoOwners(slice: string, ownerships: readonly Ownership[], tolerance: number): Finding[] {
    return listOverlaps(ownerships, tolerance).map(([one, other, duration]) => ({
        kind: "twoOwners",
        subject: slice,
        detail: `${name(one)} and ${name(other)} for ${duration} ms from ${Math.max(one.from, other.from)}`,
    }));
}

/** A server that takes a generation after another server has taken a higher one. */
function findOldGenerations(slice: string, ownerships: readonly Ownership[], tolerance: number): Finding[] {
    const inOrder = [...ownerships].sort((left, right) => left.from - right.from);
    const findings: Finding[] = [];
    let highest = inOrder[0];
    for (const next of inOrder) {
        const isOld = highest !== undefined && next.generation <= highest.generation
            && next.holder !== highest.holder && next.from > highest.from + tolerance;
        if (isOld) {
            const detail = `${name(next)} at ${next.from} after ${name(highest!)} at ${highest!.from}`;
            findings.push({ kind: "generationWentBack", subject: slice, detail });
        }
        if (highest === undefined || next.generation > highest.generation) {
            highest = next;
        }
    }
    return findings;
}

function name(ownership: Ownership): string {
    return `${ownership.holder} (generation ${ownership.generation})`;
}
