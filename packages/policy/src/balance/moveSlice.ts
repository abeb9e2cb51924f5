import type { Placement } from "./placement.js";

/** Moves a slice between the placements of a plan. */
export function moveSlice(placed: Placement["slices"][number], source: Placement, target: Placement): void {
    source.slices = source.slices.filter(other => other !== placed);
    source.load -= placed.load;
    target.slices.push(placed);
    target.load += placed.load;
}
