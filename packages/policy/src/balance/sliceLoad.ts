import type { Milliseconds, SliceId } from "@arbutusdoor/common";
import type { KeyLoad } from "./keyLoad.js";
import type { LoadReport } from "./loadReport.js";
import type { SliceLoadSettings } from "./sliceLoadSettings.js";
import { SpaceSaving } from "./spaceSaving.js";

/** Separates slice and key in the names of the sketch; occurs in no slice id. */
const SEPARATOR = "\n";
const NEGLIGIBLE_MS = 0.001;

/** Observes how much slot time the slices and their heaviest keys take, with past load fading away. */
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

    /** Counts a request that held a slot of its server for `duration`. */
    record(slice: SliceId, key: string, duration: Milliseconds, now: Milliseconds): void {
        this.decay(now);
        this.keys.add(slice + SEPARATOR + key, duration);
        const known = this.work.get(slice);
        if (known !== undefined || this.work.size < this.settings.maxSlices) {
            this.work.set(slice, (known ?? 0) + duration);
        }
    }

    /** Forgets a slice that this host no longer serves. */
    forget(slice: SliceId): void {
        this.work.delete(slice);
    }

    /** Present load of all slices seen, and the heaviest keys. */
    getReport(now: Milliseconds): LoadReport {
        this.decay(now);
        const window = this.getWindow(now);
        const slices = [...this.work].map(([slice, work]) => ({ slice, load: work / window }));
        const topKeys = this.keys.list().slice(0, this.settings.reportedKeys).map(count =>
            toKeyLoad(count.key, (count.weight - count.error) / window)
        );
        return { slices, topKeys };
    }

    /** Time that the decayed sums stand for; shorter at first, when little has been seen. */
    private getWindow(now: Milliseconds): Milliseconds {
        const meanLife = this.settings.halfLifeMs / Math.LN2;
        const seen = 1 - Math.exp(-(now - this.startedAt) / meanLife);
        return Math.max(1, meanLife * seen);
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
            this.fade(slice, work * factor);
        }
    }

    private fade(slice: SliceId, work: Milliseconds): void {
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
