import type { CallerEntry } from "../caller/callerEntry.js";
import type { Evidence } from "./evidence.js";
import type { Finding } from "./finding.js";
import { groupBy } from "./groupBy.js";
import type { Run } from "./run.js";
import type { StopJudgement } from "./stopJudgement.js";

/** A request that nobody ran may end with its connection for so long after its last byte. */
const LOSS_SLACK_MS = 200;
const AFTER_GRACE_MS = 1_000;
/** A request sent up to then may be cut off at the end of the grace time. */
const EARLY_MS = 3_000;
const LAST_SIXTH = 5 / 6;

/**
 * Requests whose connection a host ended around its SIGTERM without a complete answer, although a server ran them or the host had read them whole;
 * and those that it broke off at their server and answered itself. Their servers are to have no faults, and the host none but the SIGTERM.
 *
 * @param toleranceMs time by which two readings of the wall clock may differ
 */
export function findLostRequests(
    evidence: Evidence,
    judgement: StopJudgement,
    toleranceMs: number,
): readonly Finding[] {
    const { graceMs, stops, timeoutMs } = judgement;
    const ids = groupBy(evidence.runs, run => run.requestId);
    return evidence.calls.filter(({ delivery }) => delivery).flatMap((call): Finding[] => {
        const { endedAt, entryHost, name, requestId, sentAt } = call;
        const runs = ids.get(requestId ?? "") ?? [];
        const stop = stops.find(({ at, entryHost: stopped }) =>
            stopped === entryHost && at <= endedAt && endedAt <= at + graceMs + AFTER_GRACE_MS
        );
        const isLate = endedAt >= sentAt + timeoutMs - toleranceMs;
        if (!stop || isLate || mayBeCutOff(call, runs, stop.at, graceMs) || !isLost(call, runs)) {
            return [];
        }
        return [{ kind: "lost", subject: name, detail: describe(call, runs, stop.at) }];
    });
}

function describe(
    { delivery, endedAt, entryHost, outcome, sentAt }: CallerEntry,
    runs: readonly Run[],
    at: number,
): string {
    const { ahead, sentWholeAt } = delivery!;
    const [sent, whole, ended] = [sentAt, sentWholeAt!, endedAt].map(time => Math.round(time - at));
    const where = runs.map(({ holder, result }) => `${result} at ${holder}`).join(" and ") || "not run";
    return `${entryHost}, ms from SIGTERM: sent ${sent} to ${whole} behind ${ahead} others, ${outcome} ${ended}; ${where}`;
}

function isLost({ delivery, endedAt, outcome }: CallerEntry, runs: readonly Run[]): boolean {
    const { closeAnnouncedAt = Infinity, isGivenUp, isReused, openedAt, sentWholeAt } = delivery!;
    if (outcome === "unknown" || outcome === "notRun") {
        return runs.length > 0 && runs.every(run => run.result === "cancelled");
    }
    if (outcome === "answered" || isGivenUp || sentWholeAt === undefined) {
        return false;
    }
    // A host that had answered on a connection, or had time to accept it, has read what was sent in time. What comes after the announcement of
    // the close, or crosses it, is not read any more, and its caller knows that.
    const isAccepted = isReused || sentWholeAt - openedAt > LOSS_SLACK_MS;
    const isRead = sentWholeAt + LOSS_SLACK_MS < Math.min(endedAt, closeAnnouncedAt);
    return runs.length > 0 || isAccepted && isRead;
}

function mayBeCutOff({ sentAt }: CallerEntry, runs: readonly Run[], at: number, graceMs: number): boolean {
    return sentAt <= at + EARLY_MS && runs.some(run => run.until >= at + graceMs * LAST_SIXTH);
}
