import * as z from "zod";

/** Memory limits and decay of the measured load of slices. */
const SliceLoadSettings = z.strictObject({
    /** Time in ms after which past load counts half. */
    halfLifeMs: z.number().min(1).max(3_600_000).default(10_000),
    /** Keys that are tracked to find the heaviest. */
    maxKeys: z.int().min(1).max(100_000).default(128),
    /** Heaviest keys in a report. */
    reportedKeys: z.int().min(0).max(1_000).default(8),
    /** Slices whose load is tracked. */
    maxSlices: z.int().min(1).max(1_000_000).default(65_536),
});

type SliceLoadSettings = z.infer<typeof SliceLoadSettings>;

export { SliceLoadSettings };
