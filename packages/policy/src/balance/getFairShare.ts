import type { MovePlanInput } from "./movePlanInput.js";

const SMALLEST_LOAD = 1e-9;

/** Returns the mean load of an active server in slots; a tiny positive number when there is no load. */
export function getFairShare(input: MovePlanInput): number {
    const total = input.loads.slices.reduce((sum, { load }) => sum + load, 0);
    const active = input.servers.filter(({ state }) => state === "active").length;
    return Math.max(SMALLEST_LOAD, total / Math.max(1, active));
}
