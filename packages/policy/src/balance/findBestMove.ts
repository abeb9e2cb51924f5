import type { SliceId } from "@arbutusdoor/common";
import type { MovePlanInput } from "./movePlanInput.js";
import type { Placement } from "./placement.js";

/** Most loaded servers, their heaviest slices and least loaded servers that are looked at for one move. */
const MAX_SOURCES = 8;
const MAX_SLICES_OF_SOURCE = 64;
const MAX_TARGETS = 8;
const MS_IN_SECOND = 1_000;

type PlannedSlice = Placement["slices"][number];

type Candidate = {
    readonly placed: PlannedSlice;
    readonly source: Placement;
    readonly target: Placement;
    /** Gain less cost. */
    readonly worth: number;
};

/** The move for balance that is worth most, or `undefined` when none is worth its cost. */
export function findBestMove(
    placements: readonly Placement[],
    settled: ReadonlySet<SliceId>,
    input: MovePlanInput,
): Candidate | undefined {
    const active = placements.filter(({ state }) => state === "active");
    const byUse = [...active].sort((a, b) => getUse(b) - getUse(a));
    const sources = byUse.filter(placement => getUse(placement) > input.settings.tolerance);
    const targets = byUse.reverse().slice(0, MAX_TARGETS);
    let best: Candidate | undefined;
    for (const source of sources.slice(0, MAX_SOURCES)) {
        for (const placed of getMovable(source, settled)) {
            for (const target of targets) {
                const worth = getWorth(placed, source, target, input);
                if (worth > (best?.worth ?? 0)) {
                    best = { placed, source, target, worth };
                }
            }
        }
    }
    return best;
}

function getMovable(source: Placement, settled: ReadonlySet<SliceId>): readonly PlannedSlice[] {
    const free = source.slices.filter(placed =>
        !placed.isPinned && !settled.has(placed.slice) && placed.load > 0
    );
    return free.slice(0, MAX_SLICES_OF_SOURCE);
}

function getWorth(
    placed: PlannedSlice,
    source: Placement,
    target: Placement,
    { assignment, objective, servers, settings }: MovePlanInput,
): number {
    const isWarm = target.loadLimit >= target.size;
    if (target === source || (!isWarm && target.load + placed.load > target.loadLimit)) {
        return -Infinity;
    }
    const gain = getBalanceGain(placed.load, source, target);
    const keyShare = (placed.keyShare ?? 1 / assignment.length) * servers.length;
    const unavailable = placed.load * settings.moveMs / MS_IN_SECOND;
    return objective.imbalance * gain
        - objective.churn * settings.churnPrice * keyShare
        - objective.unavailability * settings.unavailabilityPrice * unavailable;
}

/** Decrease of the sum over servers of size times squared distance from the mean use. */
function getBalanceGain(load: number, source: Placement, target: Placement): number {
    return 2 * load * (getUse(source) - getUse(target)) - load ** 2 * (1 / source.size + 1 / target.size);
}

function getUse({ load, size }: Placement): number {
    return load / size;
}
