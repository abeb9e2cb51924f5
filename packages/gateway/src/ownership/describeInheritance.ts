import type { LogFields, Milliseconds } from "@arbutusdoor/common";
import type { Predecessor } from "../coordination/predecessor.js";
import type { OrderScheduler } from "./orderScheduler.js";

/** Returns the fields of the log line about a map that a coordinator has taken over. */
export function describeInheritance(
    scheduler: OrderScheduler,
    predecessors: readonly Predecessor[],
    now: Milliseconds,
): LogFields {
    const { fence, ranges, term } = scheduler.map;
    return {
        term,
        fence,
        ranges: ranges.length,
        waiting: scheduler.listWaiting(now).length,
        dated: ranges.filter(({ previousUntil }) => previousUntil !== undefined).length,
        predecessors: predecessors.map(({ host }) => host).join(" ") || "none",
        reckonedMs: Math.round(scheduler.getPredecessorTimeLeft(now)),
    };
}
