import type { ClassId, Milliseconds } from "@arbutusdoor/common";
import type { ServerQueueSettings } from "./serverQueueSettings.js";

const SHARED_CLASS = "" as ClassId;

/** Running mean of the time that jobs of each class hold a slot. */
export class ServiceTimes {
    private readonly means = new Map<ClassId, Milliseconds>();
    private readonly settings: ServerQueueSettings;

    constructor(settings: ServerQueueSettings) {
        this.settings = settings;
    }

    /** Takes in the time that one job held its slot. */
    record(classId: ClassId, duration: Milliseconds): void {
        const hasOwnMean = this.means.has(classId) || this.means.size < this.settings.maxClasses;
        const name = hasOwnMean ? classId : SHARED_CLASS;
        const mean = this.means.get(name) ?? duration;
        this.means.set(name, mean + this.settings.newestWeight * (duration - mean));
    }

    /** Expected time for a job of the class. */
    getMean(classId: ClassId): Milliseconds {
        return this.means.get(classId) ?? this.means.get(SHARED_CLASS) ?? this.settings.initialServiceMs;
    }
}
