import type { RangePart } from "./rangePart.js";
import type { ServerUsage } from "./serverUsage.js";

/** Neighbouring parts of a server, by position. */
type Selection = {
    readonly run: readonly RangePart[];
    readonly start: number;
    readonly end: number;
    readonly load: number;
};

/**
 * Removes and returns neighbouring parts with at most the load `room`: the least that relieve a server of `excess`, or else as much as
 * there is. Returns `undefined` when there is none. Few large moves cost less than many small ones.
 */
export function takeRun(from: ServerUsage, room: number, excess: number): RangePart | undefined {
    let best: Selection | undefined;
    for (const run of from.runs) {
        for (let start = 0; start < run.length; start++) {
            let load = 0;
            for (let end = start; end < run.length && !run[end]!.isHot; end++) {
                load += run[end]!.load;
                if (load > room) {
                    break;
                }
                if (load > 0 && (!best || isBetter(load, best.load, excess))) {
                    best = { run, start, end, load };
                }
                if (load >= excess) {
                    break;
                }
            }
        }
    }
    if (!best) {
        return undefined;
    }
    const { end, load, run, start } = best;
    from.runs = from.runs.flatMap(other =>
        other === run ? [run.slice(0, start), run.slice(end + 1)].filter(({ length }) => length > 0) : [other]
    );
    return { first: run[start]!.first, last: run[end]!.last, load, isHot: false };
}

function isBetter(load: number, than: number, excess: number): boolean {
    return than >= excess ? load >= excess && load < than : load > than;
}
