import type { SliceId } from "@arbutusdoor/common";
import type { MovePlanInput } from "./movePlanInput.js";
import type { Placement } from "./placement.js";

/** How many of the most loaded servers, of their heaviest slices and of the least loaded servers are considered for one move. */
const MAX_SOURCES = 8;
const MAX_SLICES_OF_SOURCE = 64;
const MAX_TARGETS = 8;
const MS_IN_SECOND = 1_000;

type PlannedSlice = Placement["slices"][number];

type Candidate = {
    readonly placed: PlannedSlice;
    readonly source: Placement;
    readonly target: Placement;
    /** Benefit minus cost. */
    readonly netBenefit: number;
};

/** Returns the move for balance with the highest net benefit, or `undefined` when none has more benefit than cost. */
export function findBestMove(
    placements: readonly Placement[],
    resting: ReadonlySet<SliceId>,
    input: MovePlanInput,
): Candidate | undefined {
    const active = placements.filter(({ state }) => state === "active");
    const byUtilization = [...active].sort((a, b) => getUtilization(b) - getUtilization(a));
    const sources = byUtilization.filter(placement => getUtilization(placement) > input.settings.tolerance);
    const targets = byUtilization.reverse().slice(0, MAX_TARGETS);
    let best: Candidate | undefined;
    for (const source of sources.slice(0, MAX_SOURCES)) {
        for (const placed of getMovable(source, resting)) {
            for (const target of targets) {
                const netBenefit = getNetBenefit(placed, source, target, input);
                if (netBenefit > (best?.netBenefit ?? 0)) {
                    best = { placed, source, target, netBenefit };
                }
            }
        }
    }
    return best;
}

function getMovable(source: Placement, resting: ReadonlySet<SliceId>): readonly PlannedSlice[] {
    const free = source.slices.filter(placed =>
        !placed.isPinned && !resting.has(placed.slice) && placed.load > 0
    );
    return free.slice(0, MAX_SLICES_OF_SOURCE);
}

function getNetBenefit(
    placed: PlannedSlice,
    source: Placement,
    target: Placement,
    { assignment, objective, servers, settings }: MovePlanInput,
): number {
    const isWarm = target.loadLimit >= target.size;
    if (target === source || (!isWarm && target.load + placed.load > target.loadLimit)) {
        return -Infinity;
    }
    const benefit = getBalanceBenefit(placed.load, source, target);
    const keyShare = (placed.keyShare ?? 1 / assignment.length) * servers.length;
    const unavailable = placed.load * settings.moveMs / MS_IN_SECOND;
    return objective.imbalance * benefit
        - objective.churn * settings.churnPrice * keyShare
        - objective.unavailability * settings.unavailabilityPrice * unavailable;
}

/** Returns the decrease of the sum over servers of size times squared deviation from the mean utilization. */
function getBalanceBenefit(load: number, source: Placement, target: Placement): number {
    return 2 * load * (getUtilization(source) - getUtilization(target))
        - load ** 2 * (1 / source.size + 1 / target.size);
}

function getUtilization({ load, size }: Placement): number {
    return load / size;
}
