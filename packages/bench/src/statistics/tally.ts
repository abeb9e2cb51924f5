import type { Milliseconds } from "@arbutusdoor/common";
import { build, type Histogram } from "hdr-histogram-js";
import type { SimulatedServer } from "../simulation/simulatedServer.js";
import type { ClassSummary } from "./classSummary.js";
import type { RequestOutcome } from "./requestOutcome.js";

const MICROSECONDS_IN_MS = 1_000;
const HIGHEST_US = 120_000_000;

type ClassTally = {
    requests: number;
    good: number;
    goodWork: number;
    refused: number;
    unknown: number;
    readonly latency: Histogram;
};

/** Collects the outcomes of a run by class, and holds refusals against the servers' journals. */
export class Tally {
    private readonly from: Milliseconds;
    private readonly until: Milliseconds;
    private readonly classes = new Map<string, ClassTally>();
    private readonly reasons = new Map<string, number>();
    private readonly refusedIds: number[] = [];
    private readonly onceIds: number[] = [];

    /** Goodput is measured over the last three quarters of the run. */
    constructor(duration: Milliseconds) {
        this.from = duration / 4;
        this.until = duration;
    }

    record({ request, kind, reason, at }: RequestOutcome): void {
        const tally = this.getClass(request.profile.classId);
        tally.requests++;
        if (!request.profile.isIdempotent) {
            this.onceIds.push(request.id);
        }
        if (kind === "answered") {
            tally.latency.recordValue(Math.round((at - request.arrivedAt) * MICROSECONDS_IN_MS));
            const isGood = at <= request.deadlineAt;
            tally.good += isGood ? 1 : 0;
            tally.goodWork += isGood && at >= this.from && at <= this.until ? request.work : 0;
            return;
        }
        tally.refused += kind === "notRun" ? 1 : 0;
        tally.unknown += kind === "unknown" ? 1 : 0;
        this.reasons.set(reason, (this.reasons.get(reason) ?? 0) + 1);
        if (kind === "notRun") {
            this.refusedIds.push(request.id);
        }
    }

    /** Outcomes of a class; all zero when it had none. */
    getSummary(classId: string): ClassSummary {
        const { requests, good, refused, unknown, latency } = this.getClass(classId);
        const quantile = (share: number): number =>
            latency.totalCount === 0 ? 0 : latency.getValueAtPercentile(share) / MICROSECONDS_IN_MS;
        return {
            requests,
            good,
            refused,
            unknown,
            p50: quantile(50),
            p99: quantile(99),
            p999: quantile(99.9),
        };
    }

    /** Slot time of the timely answers over the slot time that there was. */
    getGoodput(slots: number): number {
        const work = [...this.classes.values()].reduce((sum, { goodWork }) => sum + goodWork, 0);
        return work / (slots * (this.until - this.from));
    }

    /** Refusals and unknown outcomes by reason, in order of name. */
    getReasons(): string {
        const sorted = [...this.reasons].sort(([a], [b]) => a < b ? -1 : 1);
        return sorted.map(([reason, count]) => `${reason} ${count}`).join(", ");
    }

    /** Refusals called "not run" whose request some server did run; has to be 0. */
    countFalseRefusals(servers: readonly SimulatedServer[]): number {
        return this.refusedIds.filter(id => servers.some(({ journal }) => journal.has(id))).length;
    }

    /** Requests that must not be repeated but were run more than once; has to be 0. */
    countRepeated(servers: readonly SimulatedServer[]): number {
        const countRuns = (id: number): number =>
            servers.reduce((sum, { journal }) => sum + (journal.get(id) ?? 0), 0);
        return this.onceIds.filter(id => countRuns(id) > 1).length;
    }

    private getClass(classId: string): ClassTally {
        let tally = this.classes.get(classId);
        if (!tally) {
            const latency = build({ highestTrackableValue: HIGHEST_US, numberOfSignificantValueDigits: 3 });
            tally = { requests: 0, good: 0, goodWork: 0, refused: 0, unknown: 0, latency };
            this.classes.set(classId, tally);
        }
        return tally;
    }
}
