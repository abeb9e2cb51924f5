import { getFairShare } from "./getFairShare.js";
import type { MovePlanInput } from "./movePlanInput.js";
import type { PlaceableServer } from "./placeableServer.js";
import type { Placement } from "./placement.js";

/** Returns the servers in order of id with their slices; loads are scaled so that the mean of the active servers is 1. */
export function createPlacements(input: MovePlanInput): Placement[] {
    const active = input.servers.filter(({ state }) => state === "active");
    const meanSlots = active.reduce((sum, { slots }) => sum + slots, 0) / Math.max(1, active.length);
    const fairShare = getFairShare(input);
    const loads = new Map(input.loads.slices.map(({ slice, load }) => [slice, load / fairShare]));
    const placements = input.servers.map(server => createPlacement(server, meanSlots, input));
    const byServer = new Map(placements.map(placement => [placement.server, placement]));
    for (const placed of input.assignment) {
        const load = loads.get(placed.slice) ?? 0;
        const placement = byServer.get(placed.server);
        placement?.slices.push({ ...placed, load });
        if (placement) {
            placement.load += load;
        }
    }
    for (const { slices } of placements) {
        slices.sort((a, b) => b.load - a.load || (a.slice < b.slice ? -1 : 1));
    }
    return placements.sort((a, b) => a.server < b.server ? -1 : 1);
}

function createPlacement(
    { server, slots, state, joinedAt }: PlaceableServer,
    meanSlots: number,
    { now, settings }: MovePlanInput,
): Placement {
    const size = slots / Math.max(1, meanSlots);
    const age = joinedAt === undefined ? Infinity : now - joinedAt;
    const warmth = settings.warmUpMs === 0 ? 1 : Math.min(1, Math.max(0, age / settings.warmUpMs));
    return { server, state, size, loadLimit: size * warmth, load: 0, slices: [] };
}
