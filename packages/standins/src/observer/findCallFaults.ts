import type { CallerEntry } from "../caller/callerEntry.js";
import type { Evidence } from "./evidence.js";
import type { Finding } from "./finding.js";
import { groupBy } from "./groupBy.js";
import type { Run } from "./run.js";

/**
 * What callers were told against what ran: filings that ran more than once, refusals as not run that ran, answers without
 * a run, and answers that were not the caller's own.
 */
export function findCallFaults(evidence: Evidence): readonly Finding[] {
    const runs = groupBy(evidence.runs, run => getName(run.path) ?? "");
    const ids = groupBy(evidence.runs, run => run.requestId);
    return [
        ...findRepeatedKeys(evidence),
        ...[...groupBy(evidence.calls, call => call.name)].flatMap(([name, attempts]) =>
            judge(name, attempts, runs.get(name) ?? [], ids)
        ),
    ];
}

function judge(
    name: string,
    attempts: readonly CallerEntry[],
    runs: readonly Run[],
    ids: ReadonlyMap<string, readonly Run[]>,
): Finding[] {
    const findings: Finding[] = [];
    const add = (kind: Finding["kind"], detail: string) => findings.push({ kind, subject: name, detail });
    if (attempts[0]?.kind === "once" && runs.length > 1) {
        add("ranTwice", `it ran at ${runs.map(run => run.holder).join(" and ")}`);
    }
    if (attempts.every(attempt => attempt.outcome === "notRun") && runs.length > 0) {
        add("refusedButRan", `every attempt was refused as not run, but it ran at ${runs[0]!.holder}`);
    }
    for (const { outcome, requestId, attempt, isOwn } of attempts) {
        const byId = requestId === undefined ? [] : ids.get(requestId) ?? [];
        if (outcome === "notRun" && byId.length > 0) {
            add("refusedButRan", `attempt ${attempt} was refused as not run, but ran at ${byId[0]!.holder}`);
        }
        if (outcome === "answered" && !isOwn) {
            add("wrongAnswer", `attempt ${attempt} got an answer that is not whole or not its own`);
        }
        if (outcome === "answered" && !runs.some(run => run.result === "completed")) {
            add("answeredButNotRun", `attempt ${attempt} was answered, but no server completed it`);
        }
    }
    return findings;
}

/** Filings whose key ran more than once, whoever sent them. */
function findRepeatedKeys(evidence: Evidence): Finding[] {
    const filings = evidence.runs.filter(run => run.idempotencyKey !== undefined);
    return [...groupBy(filings, run => run.idempotencyKey!)]
        .filter(([, runs]) => runs.length > 1)
        .map(([key, runs]) => ({
            kind: "ranTwice",
            subject: key,
            detail: `its Idempotency-Key ran at ${runs.map(run => run.holder).join(" and ")}`,
        }));
}

/** The name that a caller has put into a path. */
function getName(path: string): string | undefined {
    return /[?&]call=([^&]+)/.exec(path)?.[1];
}
