import type { CallerEntry } from "../caller/callerEntry.js";
import { findCallFaults } from "./findCallFaults.js";
import type { Finding } from "./finding.js";
import { findLostRequests } from "./findLostRequests.js";
import { findNoticeFaults } from "./findNoticeFaults.js";
import { findOwnershipFaults } from "./findOwnershipFaults.js";
import { findRunFaults } from "./findRunFaults.js";
import { newEvidence } from "./newEvidence.js";
import type { NoticeJudgement } from "./noticeJudgement.js";
import type { ServerJournal } from "./serverJournal.js";
import type { StopJudgement } from "./stopJudgement.js";
import type { Verdict } from "./verdict.js";

/** How the evidence is judged. */
type Judgement = {
    /** Time in ms by which two readings of the wall clock may differ. */
    readonly toleranceMs: number;
    /** Names of servers whose journals were lost with them; what can't be judged without these is left out. */
    readonly lostServers: readonly string[];
    /** How hosts' obedience to what servers say of themselves is judged; not judged when left out. */
    readonly notices?: NoticeJudgement;
    /** Graceful shutdowns of hosts, at which no request may be lost; not judged when left out. */
    readonly stops?: StopJudgement;
};

/**
 * Judges what servers did and what callers were told: one owner a slice at each moment, work by owners only, filings run at
 * most once, refusals as not run that ran nowhere, whole answers to the one who asked, and none without a run.
 * It goes by the word of the servers and of the callers, and by nothing that the entry hosts say.
 */
export function observe(
    journals: readonly ServerJournal[],
    calls: readonly CallerEntry[],
    judgement: Judgement,
): Verdict {
    const { toleranceMs, lostServers, notices, stops } = judgement;
    const evidence = newEvidence(journals, calls);
    const isComplete = lostServers.length + evidence.truncated.length === 0;
    const findings = [
        ...findOwnershipFaults(evidence, toleranceMs),
        ...findRunFaults(evidence, toleranceMs),
        ...findCallFaults(evidence),
        ...notices ? findNoticeFaults(journals, calls, notices) : [],
        ...stops ? findLostRequests(evidence, stops, toleranceMs) : [],
    ].filter(finding => isComplete || !needsAllJournals(finding));
    const gaps = getGaps(evidence.truncated, lostServers);
    const counts = {
        ownerships: evidence.ownerships.length,
        runs: evidence.runs.length,
        calls: calls.length,
        broken: calls.filter(call => call.outcome === "broken").length,
        filings: evidence.runs.filter(run => run.idempotencyKey !== undefined).length,
    };
    return {
        isClean: findings.length + evidence.truncated.length === 0,
        findings,
        gaps,
        counts,
        toleranceMs,
    };
}

function needsAllJournals(finding: Finding): boolean {
    return finding.kind === "answeredButNotRun";
}

function getGaps(truncated: readonly string[], lostServers: readonly string[]): readonly string[] {
    return [
        ...truncated.map(name => `the journal of ${name} has lost its oldest entries`),
        ...lostServers.map(name => `the journal of ${name} was lost with it`),
    ];
}
