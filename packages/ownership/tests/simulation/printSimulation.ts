import { findViolations } from "./findViolations.js";
import { getEvidence } from "./getEvidence.js";
import type { Simulation } from "./simulation.js";

/** Returns a readable report of a simulation: what was done to it, who owned what when, what callers saw, and the violations. */
export function printSimulation(simulation: Simulation, title: string): string {
    const lines = [...getNotes(simulation), ...getOwners(simulation)]
        .sort((left, right) => left.time - right.time)
        .map(({ time, text }) => `${getTime(time)}  ${text}`);
    const violations = findViolations(getEvidence(simulation)).map(({ time, text }) =>
        `${getTime(time)}  ${text}`
    );
    return [
        title,
        "",
        ...lines,
        "",
        "What callers saw, by second of sending:",
        ...getCallers(simulation),
        "",
        `Rows written since the session began: ${getWrites(simulation)}`,
        `Broken promises: ${violations.length === 0 ? "none" : ""}`,
        ...violations,
        "",
    ].join("\n");
}

function getNotes(simulation: Simulation) {
    return simulation.notes.map(({ time, text }) => ({ time, text: `-- ${text}` }));
}

/** Journal entries of one server within a few milliseconds make one line. */
function getOwners(simulation: Simulation) {
    const groups: { time: number; head: string; slices: string[]; }[] = [];
    for (const { time, incarnation, event } of simulation.journal) {
        if (event.kind === "takes" || event.kind === "drops") {
            const head = `${incarnation} ${event.kind}`;
            const last = groups.findLast(group => group.head === head && time - group.time < 10);
            const text = `${event.slice.replace("board/range-", "")}@${event.generation}`;
            if (last) {
                last.slices.push(text);
            }
            else {
                groups.push({ time, head, slices: [text] });
            }
        }
    }
    return groups.map(({ time, head, slices }) => ({ time, text: `${head} ${slices.join(" ")}` }));
}

function getCallers(simulation: Simulation): readonly string[] {
    const seconds = new Map<number, Map<string, number>>();
    for (const { sentAt, outcome, reason } of simulation.callers.log) {
        const second = Math.floor(sentAt / 1000);
        const counts = seconds.get(second) ?? new Map<string, number>();
        seconds.set(second, counts);
        const name = reason ? `${outcome} (${reason})` : outcome;
        counts.set(name, (counts.get(name) ?? 0) + 1);
    }
    return [...seconds].map(([second, counts]) => {
        const texts = [...counts].sort().map(([name, count]) => `${count} ${name}`);
        return `  second ${second}: ${texts.join(", ")}`;
    });
}

/** Commits by kind of row, without the coordinator's renewals, whose number only depends on the length of the simulation. */
function getWrites(simulation: Simulation): string {
    const begin = simulation.notes[0]?.time ?? 0;
    const rows = simulation.table.journal.filter(({ time, row }) =>
        time >= begin && !row.key.startsWith("decider/")
    );
    const counts = new Map<string, number>();
    for (const { row } of rows) {
        const kind = row.key.split("/")[0]!;
        counts.set(kind, (counts.get(kind) ?? 0) + 1);
    }
    return [...counts].sort().map(([kind, count]) => `${count} ${kind}`).join(", ") || "none";
}

function getTime(time: number): string {
    return `${(time / 1000).toFixed(3).padStart(8)} s`;
}
