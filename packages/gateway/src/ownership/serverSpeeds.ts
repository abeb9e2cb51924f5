import type { Milliseconds, ServerId } from "@arbutusdoor/common";
import { WorkTimes } from "@arbutusdoor/policy";
import type { RegisteredServer } from "../discovery/registeredServer.js";

const MS_PER_S = 1_000;
const MAX_SERVERS = 4_096;
/** Assumed before any server has answered. */
const DEFAULT_WORK_MS = 200;
/** A server that has just started works at about half its speed. */
const COLD_FACTOR = 0.5;
/** Servers of a service differ in speed by a factor of 0.5 to 1.6; estimates beyond are queueing, or too few answers. */
const MIN_RELATIVE_WORK = 0.5;
const MAX_RELATIVE_WORK = 2.2;
/** Weight of the service's usual work time, in answers, while few answers of a server are known. */
const PRIOR_ANSWERS = 4;
const RATE_HALF_LIFE_MS = 2_000;
const RATE_MEAN_LIFE_S = RATE_HALF_LIFE_MS / Math.LN2 / MS_PER_S;

/** What is known of one server. */
type ServerRecord = {
    readonly work: WorkTimes;
    /** Exponentially decaying count of answers. */
    answers: number;
    decayedAt: Milliseconds;
};

/** Usual work time at the servers of one service. */
type UsualWork = {
    /** Median of the servers' means. */
    readonly meanMs: Milliseconds;
    /** Median of the servers' low quantiles. */
    readonly lowMs: Milliseconds;
};

/** Estimates how many requests a second servers can process, from the reports of all hosts. Time in a server's queue is not work. */
export class ServerSpeeds {
    private readonly records = new Map<ServerId, ServerRecord>();

    /**
     * Records answers of a server.
     *
     * @param workTimes work times of some of the answers; if there are none, the mean answer time counts as one
     */
    add(
        server: ServerId,
        answers: number,
        totalMs: Milliseconds,
        workTimes: readonly Milliseconds[],
        now: Milliseconds,
    ): void {
        if (answers <= 0) {
            return;
        }
        const record = this.records.get(server) ?? { work: new WorkTimes(), answers: 0, decayedAt: now };
        const times = workTimes.length > 0 ? workTimes : [totalMs / answers];
        times.forEach(time => record.work.add(time));
        record.answers = getAnswers(record, now) + answers;
        record.decayedAt = now;
        this.records.delete(server);
        this.records.set(server, record);
        if (this.records.size > MAX_SERVERS) {
            const [oldest] = this.records.keys();
            this.records.delete(oldest as ServerId);
        }
    }

    /** Returns the usual work time at the servers of one service. */
    getUsualWork(servers: readonly RegisteredServer[]): UsualWork {
        const known = servers.flatMap(({ id }) => this.records.get(id)?.work ?? []);
        return {
            meanMs: getMedian(known.map(({ mean }) => mean)),
            lowMs: getMedian(known.map(({ low }) => low)),
        };
    }

    /**
     * Returns the requests a second that a server can process: its speed relative to the usual one of its service, and at least as many as it
     * answers now, which an overloaded server does at its full capacity.
     */
    getCapacity(server: RegisteredServer, isCold: boolean, usual: UsualWork, now: Milliseconds): number {
        const record = this.records.get(server.id);
        const workMs = usual.meanMs * (record ? getRelativeWork(record.work, usual.lowMs) : 1);
        const estimate = server.slots * MS_PER_S / workMs * (isCold ? COLD_FACTOR : 1);
        return Math.max(estimate, record ? getLowAnswerRate(record, now) : 0);
    }
}

function getRelativeWork(work: WorkTimes, usualLowMs: Milliseconds): number {
    const relative = (work.count * work.low / usualLowMs + PRIOR_ANSWERS) / (work.count + PRIOR_ANSWERS);
    return Math.min(MAX_RELATIVE_WORK, Math.max(MIN_RELATIVE_WORK, relative));
}

/** Returns the answers a second, less the standard deviation of what was counted. */
function getLowAnswerRate(record: ServerRecord, now: Milliseconds): number {
    const rate = getAnswers(record, now) / RATE_MEAN_LIFE_S;
    return rate - Math.sqrt(rate / (2 * RATE_MEAN_LIFE_S));
}

function getAnswers({ answers, decayedAt }: ServerRecord, now: Milliseconds): number {
    return answers * 0.5 ** ((now - decayedAt) / RATE_HALF_LIFE_MS);
}

function getMedian(times: readonly Milliseconds[]): Milliseconds {
    const sorted = [...times].sort((one, other) => one - other);
    return Math.max(1, sorted[sorted.length >> 1] ?? DEFAULT_WORK_MS);
}
