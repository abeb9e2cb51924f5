import type { Milliseconds, SliceId } from "@arbutusdoor/common";
import type { KeyLoad } from "./keyLoad.js";
import type { LoadReport } from "./loadReport.js";
import type { SliceLoadSettings } from "./sliceLoadSettings.js";
import { SpaceSaving } from "./spaceSaving.js";

/** Separates slice and key in the keys of the sketch; occurs in no slice id. */
const SEPARATOR = "\n";
const NEGLIGIBLE_MS = 0.001;

/** Measures the slot time that slices and their heaviest keys use, with exponential decay of past load. */
export class SliceLoad {
    private readonly settings: SliceLoadSettings;
    private readonly work = new Map<SliceId, Milliseconds>();
    private readonly keys: SpaceSaving;
    private readonly startedAt: Milliseconds;
    private decayedAt: Milliseconds;

    constructor(settings: SliceLoadSettings, now: Milliseconds) {
        this.settings = settings;
        this.keys = new SpaceSaving(settings.maxKeys);
        this.startedAt = now;
        this.decayedAt = now;
    }

    /** Records a request that held a slot of its server for `duration`. */
    record(slice: SliceId, key: string, duration: Milliseconds, now: Milliseconds): void {
        this.decay(now);
        this.keys.add(slice + SEPARATOR + key, duration);
        const known = this.work.get(slice);
        if (known !== undefined || this.work.size < this.settings.maxSlices) {
            this.work.set(slice, (known ?? 0) + duration);
        }
    }

    /** Drops a slice that this host no longer serves. */
    forget(slice: SliceId): void {
        this.work.delete(slice);
    }

    /** Returns the present load of all recorded slices and of the heaviest keys. */
    getReport(now: Milliseconds): LoadReport {
        this.decay(now);
        const window = this.getWindow(now);
        const slices = [...this.work].map(([slice, work]) => ({ slice, load: work / window }));
        const topKeys = this.keys.list().slice(0, this.settings.reportedKeys).map(count =>
            toKeyLoad(count.key, (count.weight - count.error) / window)
        );
        return { slices, topKeys };
    }

    /** Returns the time that the decayed sums represent; shorter at first, when little has been recorded. */
    private getWindow(now: Milliseconds): Milliseconds {
        const meanLife = this.settings.halfLifeMs / Math.LN2;
        const weight = 1 - Math.exp(-(now - this.startedAt) / meanLife);
        return Math.max(1, meanLife * weight);
    }

    private decay(now: Milliseconds): void {
        const elapsed = now - this.decayedAt;
        if (elapsed < this.settings.halfLifeMs / 20) {
            return;
        }
        this.decayedAt = now;
        const factor = 0.5 ** (elapsed / this.settings.halfLifeMs);
        this.keys.decay(factor);
        for (const [slice, work] of this.work) {
            this.setWork(slice, work * factor);
        }
    }

    private setWork(slice: SliceId, work: Milliseconds): void {
        if (work < NEGLIGIBLE_MS) {
            this.work.delete(slice);
        }
        else {
            this.work.set(slice, work);
        }
    }
}

function toKeyLoad(name: string, load: number): KeyLoad {
    const [slice = "", ...key] = name.split(SEPARATOR);
    return { slice: slice as SliceId, key: key.join(SEPARATOR), load };
}
