import type { Placement } from "./placement.js";

/** The active server that would be least used with the added load, one with room for it if there is any. */
export function findDestination(placements: readonly Placement[], load: number): Placement | undefined {
    const active = placements.filter(({ state }) => state === "active");
    const roomy = active.filter(placement => placement.load + load <= placement.loadLimit);
    const candidates = roomy.length > 0 ? roomy : active;
    let best: Placement | undefined;
    for (const candidate of candidates) {
        best = !best || getUse(candidate, load) < getUse(best, load) ? candidate : best;
    }
    return best;
}

function getUse(placement: Placement, added: number): number {
    return (placement.load + added) / placement.size;
}
