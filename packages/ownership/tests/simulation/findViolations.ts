import type { CommittedRow } from "./committedRow.js";
import type { Evidence } from "./evidence.js";
import type { ServerEntry } from "./serverEntry.js";
import type { Violation } from "./violation.js";

/** Checks a simulation from the outside for violations; shares no code with the product. */
export function findViolations(evidence: Evidence): readonly Violation[] {
    return [
        ...findTwoOwners(evidence.journal),
        ...findCrossedRuns(evidence.journal),
        ...findRepeats(evidence.journal),
        ...findUntrueRefusals(evidence),
        ...findLostAssignments(evidence.commits),
    ].sort((left, right) => left.time - right.time);
}

/**
 * No two servers hold a slice at the same time. Servers that do not check orders hold whatever anyone says, so only the requests that they
 * run count.
 */
function findTwoOwners(journal: readonly ServerEntry[]): readonly Violation[] {
    const owners = new Map<string, Set<string>>();
    const found: Violation[] = [];
    for (const { time, incarnation, event, checksOrders } of journal) {
        if (checksOrders && (event.kind === "takes" || event.kind === "drops")) {
            const holding = owners.get(event.slice) ?? new Set();
            owners.set(event.slice, holding);
            holding[event.kind === "takes" ? "add" : "delete"](incarnation);
            if (holding.size > 1) {
                found.push({ time, text: `${event.slice} is owned by ${[...holding].join(" and ")}` });
            }
        }
    }
    return found;
}

const REQUEST_BOUND_MS = 1000;

type Newest = { readonly generation: number; readonly since: number; };

/**
 * Work of a key never runs on two servers at a time, and never starts under an older generation than work before it. Two known limits are
 * not counted: work that a server had begun before it froze, and, at a server that does not check orders, requests that were sent to it
 * before the newer generation ran or that were in flight for longer than any host waits for an answer.
 */
function findCrossedRuns(journal: readonly ServerEntry[]): readonly Violation[] {
    const running = new Map<string, Map<string, string>>();
    const newest = new Map<string, Newest>();
    const found: Violation[] = [];
    for (const { time, incarnation, event, checksOrders } of journal) {
        if (event.kind === "starts") {
            const others = running.get(event.key) ?? new Map<string, string>();
            running.set(event.key, others);
            const known = newest.get(event.key) ?? { generation: 0, since: 0 };
            const isOld = event.generation < known.generation;
            const isPastBound = time - event.sentAt > REQUEST_BOUND_MS;
            const isExcused = !checksOrders && (isPastBound || (isOld && event.sentAt <= known.since));
            if (isOld && !isExcused) {
                found.push({
                    time,
                    text: `${event.key} runs on ${incarnation} under an old generation ${event.generation}`,
                });
            }
            if (!isExcused) {
                others.set(event.request, incarnation);
            }
            const incarnations = new Set(others.values());
            if (incarnations.size > 1) {
                found.push({ time, text: `${event.key} runs on ${[...incarnations].join(" and ")}` });
            }
            if (event.generation > known.generation) {
                newest.set(event.key, { generation: event.generation, since: time });
            }
        }
        else if (event.kind === "ends") {
            running.get(event.key)?.delete(event.request);
        }
        else if (event.kind === "freezes") {
            for (const others of running.values()) {
                [...others].filter(([, other]) => other === incarnation).forEach(([request]) =>
                    others.delete(request)
                );
            }
        }
    }
    return found;
}

function findRepeats(journal: readonly ServerEntry[]): readonly Violation[] {
    const starts = new Set<string>();
    const found: Violation[] = [];
    for (const { time, event } of journal) {
        if (event.kind === "starts") {
            if (starts.has(event.request)) {
                found.push({ time, text: `${event.request} ran twice` });
            }
            starts.add(event.request);
        }
    }
    return found;
}

function findUntrueRefusals({ journal, callers }: Evidence): readonly Violation[] {
    const starts = new Set(journal.flatMap(({ event }) => event.kind === "starts" ? [event.request] : []));
    return callers
        .filter(entry =>
            (entry.outcome === "notRun" && starts.has(entry.id))
            || (entry.outcome === "answered" && !starts.has(entry.id))
        )
        .map(entry => ({
            time: entry.sentAt,
            text: `${entry.id} was told ${entry.outcome} (${entry.reason})`,
        }));
}

type CommittedSlice = {
    slice: string;
    from: number;
    to: number;
    key?: string;
    generation: number;
    owner?: { server: string; incarnation: string; epoch: number; };
};

/**
 * No committed slice disappears, goes back to an older generation, or changes its owner under the same generation; the ranges always cover
 * all keys exactly once.
 */
function findLostAssignments(commits: readonly CommittedRow[]): readonly Violation[] {
    const known = new Map<string, CommittedSlice>();
    const found: Violation[] = [];
    for (const { time, row } of commits.filter(commit => commit.row.key.startsWith("assignment/"))) {
        const { slices } = row.value as { slices: CommittedSlice[]; };
        const present = new Set(slices.map(slice => `${row.key} ${slice.slice}`));
        const vanished = [...known.keys()].filter(name =>
            name.startsWith(`${row.key} `) && !present.has(name)
        );
        vanished.forEach(name => found.push({ time, text: `${name} vanished` }));
        for (const slice of slices) {
            const name = `${row.key} ${slice.slice}`;
            const before = known.get(name);
            const isOther = JSON.stringify(before?.owner) !== JSON.stringify(slice.owner);
            const isOld = before !== undefined && slice.generation < before.generation + (isOther ? 1 : 0);
            if (isOld) {
                found.push({
                    time,
                    text: `${name} went from generation ${before.generation} to ${slice.generation}`,
                });
            }
            known.set(name, slice);
        }
    }
    const ranges = [...known.values()].filter(slice => slice.key === undefined)
        .sort((left, right) => left.from - right.from);
    const isCovered = ranges.length === 0
        || (ranges[0]!.from === 0 && ranges.at(-1)!.to === 2 ** 32
            && ranges.every((range, index) => index === 0 || range.from === ranges[index - 1]!.to));
    return isCovered ? found : [...found, { time: Infinity, text: "the ranges do not cover all keys once" }];
}
