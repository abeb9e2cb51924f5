import { createPlacements } from "./createPlacements.js";
import { findBestMove } from "./findBestMove.js";
import { findDestination } from "./findDestination.js";
import { findSplits } from "./findSplits.js";
import { getFairShare } from "./getFairShare.js";
import type { Move } from "./move.js";
import type { MovePlanInput } from "./movePlanInput.js";
import { moveSlice } from "./moveSlice.js";
import type { Placement } from "./placement.js";

const MINUTE_MS = 60_000;

/**
 * Plans changes of a keyed service's assignment: leaving servers are emptied first, then very hot keys get slices of
 * their own, then slices move where the benefit for balance exceeds the cost of churn and unavailability by the
 * operator's weights. The same input gives the same moves; each call plans only what may be done at once.
 */
export function planMoves(input: MovePlanInput): Move[] {
    const placements = createPlacements(input);
    const leaving = planLeaving(placements, input);
    if (isBalanceIrrelevant(input)) {
        return leaving;
    }
    return [...leaving, ...findSplits(placements, input), ...planBalance(placements, input)];
}

function planLeaving(placements: readonly Placement[], { settings }: MovePlanInput): Move[] {
    const moves: Move[] = [];
    for (const source of placements.filter(({ state }) => state === "leaving")) {
        for (const placed of [...source.slices]) {
            const target = findDestination(placements, placed.load);
            if (!target || moves.length >= settings.maxLeavingMoves) {
                return moves;
            }
            moveSlice(placed, source, target);
            moves.push({
                kind: "move",
                slice: placed.slice,
                from: source.server,
                to: target.server,
                reason: "leaving",
            });
        }
    }
    return moves;
}

function planBalance(placements: readonly Placement[], input: MovePlanInput): Move[] {
    const moves: Move[] = [];
    const allowed = getAllowedMoves(input);
    const resting = new Set(
        input.history.filter(({ at }) => input.now - at < input.objective.restMs).map(({ slice }) => slice),
    );
    while (moves.length < allowed) {
        const best = findBestMove(placements, resting, input);
        if (!best) {
            break;
        }
        const { placed, source, target } = best;
        moveSlice(placed, source, target);
        resting.add(placed.slice);
        moves.push({
            kind: "move",
            slice: placed.slice,
            from: source.server,
            to: target.server,
            reason: "balance",
        });
    }
    return moves;
}

function getAllowedMoves({ history, now, objective, settings }: MovePlanInput): number {
    const recent = history.filter(({ at }) => now - at < MINUTE_MS).length;
    return Math.min(settings.maxBalanceMoves, objective.movesPerMinute - recent);
}

function isBalanceIrrelevant(input: MovePlanInput): boolean {
    const active = input.servers.filter(({ state }) => state === "active");
    const slots = active.reduce((sum, server) => sum + server.slots, 0) / Math.max(1, active.length);
    return active.length < 2 || getFairShare(input) < input.settings.minUtilization * slots;
}
