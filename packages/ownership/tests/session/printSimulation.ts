import { findViolations } from "./findViolations.js";
import { getEvidence } from "./getEvidence.js";
import type { Simulation } from "./simulation.js";

/** A readable account of a session: what was done to it, who owned what when, what callers saw, and the observer's verdict. */
export function printSimulation(session: Simulation, title: string): string {
    const lines = [...getNotes(session), ...getOwners(session)]
        .sort((left, right) => left.time - right.time)
        .map(({ time, text }) => `${getTime(time)}  ${text}`);
    const violations = findViolations(getEvidence(session)).map(({ time, text }) =>
        `${getTime(time)}  ${text}`
    );
    return [
        title,
        "",
        ...lines,
        "",
        "What callers saw, by second of sending:",
        ...getCallers(session),
        "",
        `Rows written since the session began: ${getWrites(session)}`,
        `Broken promises: ${violations.length === 0 ? "none" : ""}`,
        ...violations,
        "",
    ].join("\n");
}

function getNotes(session: Simulation) {
    return session.notes.map(({ time, text }) => ({ time, text: `-- ${text}` }));
}

/** Journal lines of one server that fall within a few milliseconds are one line. */
function getOwners(session: Simulation) {
    const groups: { time: number; head: string; slices: string[]; }[] = [];
    for (const { time, run, event } of session.journal) {
        if (event.kind === "takes" || event.kind === "drops") {
            const head = `${run} ${event.kind}`;
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

function getCallers(session: Simulation): readonly string[] {
    const seconds = new Map<number, Map<string, number>>();
    for (const { sentAt, outcome, reason } of session.callers.log) {
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

/** Commits by kind of row; the decider's renewals are left out, they only follow the length of the session. */
function getWrites(session: Simulation): string {
    const begin = session.notes[0]?.time ?? 0;
    const rows = session.table.journal.filter(({ time, row }) =>
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
