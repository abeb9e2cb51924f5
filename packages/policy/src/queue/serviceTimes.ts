import type { ClassId, Milliseconds } from "@arbutusdoor/common";
import type { ServerQueueSettings } from "./serverQueueSettings.js";

const SHARED_CLASS = "" as ClassId;

type Spread = { mean: Milliseconds; deviation: Milliseconds; };

/** Running mean, and mean deviation from it, of the time that jobs of each class hold a slot. */
export class ServiceTimes {
    private readonly spreads = new Map<ClassId, Spread>();
    private readonly settings: ServerQueueSettings;

    constructor(settings: ServerQueueSettings) {
        this.settings = settings;
    }

    /** Records the time for which a job held its slot. */
    record(classId: ClassId, duration: Milliseconds): void {
        const hasOwn = this.spreads.has(classId) || this.spreads.size < this.settings.maxClasses;
        const name = hasOwn ? classId : SHARED_CLASS;
        const { mean, deviation } = this.spreads.get(name) ?? { mean: duration, deviation: 0 };
        const weight = this.settings.newestWeight;
        this.spreads.set(name, {
            mean: mean + weight * (duration - mean),
            deviation: deviation + weight * (Math.abs(duration - mean) - deviation),
        });
    }

    /** Returns the expected time for a job of the class. */
    getMean(classId: ClassId): Milliseconds {
        return this.getSpread(classId)?.mean ?? this.settings.initialServiceMs;
    }

    /** Returns the expected time for a job of the class plus a number of mean deviations. */
    getBound(classId: ClassId, deviations: number): Milliseconds {
        const spread = this.getSpread(classId);
        return spread ? spread.mean + deviations * spread.deviation : this.settings.initialServiceMs;
    }

    private getSpread(classId: ClassId): Spread | undefined {
        return this.spreads.get(classId) ?? this.spreads.get(SHARED_CLASS);
    }
}
