import type { CallerEntry } from "../caller/callerEntry.js";
import type { Finding } from "./finding.js";
import { groupBy } from "./groupBy.js";
import type { NoticeJudgement } from "./noticeJudgement.js";
import type { ServerJournal } from "./serverJournal.js";

/** Requests that are on their way when a server says that it wants none. */
const IN_FLIGHT_MS = 500;
const ALLOWED_WHILE_PAUSED = 2;

type Entry<Kind extends string> = Extract<ServerJournal["entries"][number], { kind: Kind; }>;

/** A request that reached a server, with the call that it belongs to. */
type Arrival = { readonly time: number; readonly call: CallerEntry; };

/** Requests that hosts sent to servers which had said in answers through the same host that they leave, or want none for a time. */
export function findNoticeFaults(
    journals: readonly ServerJournal[],
    calls: readonly CallerEntry[],
    judgement: NoticeJudgement,
): readonly Finding[] {
    const callsById = new Map(calls.map(call => [call.requestId, call]));
    const places = groupBy(
        journals.flatMap(({ entries, incarnation }) =>
            entries.filter(entry => entry.kind === "run").map(({ requestId }) => ({ incarnation, requestId }))
        ),
        ({ requestId }) => requestId,
    );
    // Of a call that ran at one server only, the answer that the caller got is that server's.
    const isPassedOn = ({ requestId }: Entry<"notice">) =>
        callsById.get(requestId)?.outcome === "answered" && places.get(requestId)?.length === 1;
    return journals.flatMap(journal => {
        const arrivals = journal.entries.filter(entry => entry.kind === "arrived").flatMap(
            ({ requestId, time }): readonly Arrival[] => {
                const call = callsById.get(requestId);
                return call ? [{ time, call }] : [];
            },
        );
        const notices = journal.entries.filter(entry => entry.kind === "notice");
        return [...groupBy(notices, ({ requestId }) => callsById.get(requestId)?.entryHost ?? "")].flatMap(
            ([host, own]) => {
                const known = own.filter(({ requestId }) => callsById.has(requestId));
                const through = arrivals.filter(({ call }) => call.entryHost === host);
                const getCall = ({ requestId }: Entry<"notice">) => callsById.get(requestId)!;
                return [
                    ...findSentAfterLeaving(journal, known.filter(isPassedOn), getCall, through, judgement),
                    ...findSentWhilePaused(journal, known, host, through, judgement),
                ];
            },
        );
    });
}

function findSentAfterLeaving(
    { incarnation, server }: ServerJournal,
    notices: readonly Entry<"notice">[],
    getCall: (notice: Entry<"notice">) => CallerEntry,
    arrivals: readonly Arrival[],
    judgement: NoticeJudgement,
): readonly Finding[] {
    const passedOnAt = Math.min(
        ...notices.filter(({ isLeaving }) => isLeaving).map(notice => getCall(notice).endedAt),
    );
    return arrivals
        .filter(({ call }) => call.sentAt > passedOnAt + judgement.drainMs)
        .filter(({ call, time }) => !isDisrupted(judgement, [call.entryHost, server], passedOnAt, time))
        .map(({ call }) => ({
            kind: "sentAfterLeaving",
            subject: call.name,
            detail: `it reached ${incarnation} through ${call.entryHost} ${
                Math.round(call.sentAt - passedOnAt)
            } ms after word of its leaving was passed on there`,
        }));
}

function findSentWhilePaused(
    { incarnation, server }: ServerJournal,
    notices: readonly Entry<"notice">[],
    host: string,
    arrivals: readonly Arrival[],
    judgement: NoticeJudgement,
): readonly Finding[] {
    for (const { pauseMs, time } of notices.filter(notice => notice.pauseMs > 0)) {
        const until = time + pauseMs;
        const during = arrivals.filter(arrival => arrival.time > time + IN_FLIGHT_MS && arrival.time < until);
        if (during.length > ALLOWED_WHILE_PAUSED && !isDisrupted(judgement, [host, server], time, until)) {
            const detail = `${during.length} requests from ${host} while it wanted none for ${
                Math.round(pauseMs)
            } ms`;
            return [{ kind: "sentWhilePaused", subject: incarnation, detail }];
        }
    }
    return [];
}

function isDisrupted(
    { disruptions }: NoticeJudgement,
    names: readonly string[],
    from: number,
    until: number,
): boolean {
    return disruptions.some(disruption =>
        names.includes(disruption.name) && disruption.from <= until && disruption.until >= from
    );
}
