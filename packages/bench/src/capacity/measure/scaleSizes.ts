import type { StudyOptions } from "../studyOptions.js";

/** Sizes of a study under the scale of its options, each at least one and larger than the one before. */
export function scaleSizes(sizes: readonly number[], { scale }: StudyOptions): readonly number[] {
    let last = 0;
    return sizes.map(size => {
        last = Math.max(last + 1, Math.round(size * scale));
        return last;
    });
}
