import type { SliceId } from "@arbutusdoor/common";
import type { KeyLoad } from "./keyLoad.js";
import type { LoadReport } from "./loadReport.js";

/** Adds up the reports of several hosts. The result is sorted, so that it does not depend on their order. */
export function mergeReports(reports: readonly LoadReport[]): LoadReport {
    const slices = new Map<SliceId, number>();
    const keys = new Map<string, KeyLoad>();
    for (const report of reports) {
        for (const { slice, load } of report.slices) {
            slices.set(slice, (slices.get(slice) ?? 0) + load);
        }
        for (const { slice, key, load } of report.topKeys) {
            const name = `${slice}\n${key}`;
            keys.set(name, { slice, key, load: load + (keys.get(name)?.load ?? 0) });
        }
    }
    const sorted = [...slices].map(([slice, load]) => ({ slice, load })).sort((a, b) =>
        a.slice < b.slice ? -1 : 1
    );
    const topKeys = [...keys.values()].sort((a, b) => b.load - a.load || (a.key < b.key ? -1 : 1));
    return { slices: sorted, topKeys };
}
