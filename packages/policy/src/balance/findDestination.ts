import type { Placement } from "./placement.js";

/** Returns the active server that would be least utilized with the added load, if possible one whose load limit allows it. */
export function findDestination(placements: readonly Placement[], load: number): Placement | undefined {
    const active = placements.filter(({ state }) => state === "active");
    const withinLimit = active.filter(placement => placement.load + load <= placement.loadLimit);
    const candidates = withinLimit.length > 0 ? withinLimit : active;
    let best: Placement | undefined;
    for (const candidate of candidates) {
        best = !best || getUtilization(candidate, load) < getUtilization(best, load) ? candidate : best;
    }
    return best;
}

function getUtilization(placement: Placement, added: number): number {
    return (placement.load + added) / placement.size;
}
