import type { Evidence } from "./evidence.js";
import type { Finding } from "./finding.js";
import { groupBy } from "./groupBy.js";
import { listOverlaps } from "./listOverlaps.js";
import type { Run } from "./run.js";

/**
 * Keyed requests that ran at a server that did not own their slice when they began, and slices that two servers worked on
 * at one moment.
 * @param tolerance time in ms by which two readings of the wall clock may differ
 */
export function findRunFaults(evidence: Evidence, tolerance: number): readonly Finding[] {
    const keyed = evidence.runs.filter(run => run.slice !== undefined);
    return [
        ...findRunsWithoutOwnership(evidence, keyed, tolerance),
        ...findRunsInTwoPlaces(keyed, tolerance),
    ];
}

function findRunsWithoutOwnership(evidence: Evidence, keyed: readonly Run[], tolerance: number): Finding[] {
    const owned = groupBy(evidence.ownerships, getPlace);
    const isOutside = (run: Run) =>
        !(owned.get(getPlace(run)) ?? []).some(({ from, until }) =>
            from - tolerance <= run.from && run.from <= until + tolerance
        );
    return keyed.filter(isOutside).map(run => ({
        kind: "ranWithoutOwnership",
        subject: run.requestId,
        detail: `${run.holder} ran it at ${run.from} for ${run.slice} at generation ${run.generation}`,
    }));
}

function findRunsInTwoPlaces(keyed: readonly Run[], tolerance: number): Finding[] {
    return [...groupBy(keyed, run => run.slice!)].flatMap(([slice, runs]) =>
        listOverlaps(runs, tolerance).map(([one, other, duration]) => ({
            kind: "ranInTwoPlaces" as const,
            subject: slice,
            detail:
                `${one.holder} (${one.requestId}) and ${other.holder} (${other.requestId}) for ${duration} ms`,
        }))
    );
}

function getPlace(item: {
    readonly holder: string;
    readonly slice: string | undefined;
    readonly generation: number | undefined;
}): string {
    return JSON.stringify([item.holder, item.slice, item.generation]);
}
