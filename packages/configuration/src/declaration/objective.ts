import * as z from "zod";

const DEFAULT_PATIENCE_MS = 0;
const DEFAULT_REST_MS = 60_000;
const DEFAULT_MOVES_PER_MINUTE = 12;

/** How a keyed service weighs balanced load against moving keys and unavailability. */
const Objective = z.strictObject({
    /** Weight of imbalance of load across servers. */
    imbalance: z.number().min(0).max(1).default(0.34),
    /** Weight of churn of key ownership. */
    churn: z.number().min(0).max(1).default(0.33),
    /** Weight of unavailable time. */
    unavailability: z.number().min(0).max(1).default(0.33),
    /** Time in ms after the end of its lease for which an unresponsive server keeps its keys. */
    patienceMs: z.int().min(0).max(3_600_000).default(DEFAULT_PATIENCE_MS),
    /**
     * When the keys of an unresponsive server move: once its `lease` has provably ended, or only when the server itself or
     * an operator has `acknowledged` that it no longer serves them.
     */
    takeover: z.enum(["lease", "acknowledged"]).default("lease"),
    /** Time in ms before a moved slice may move again for balance. */
    restMs: z.int().min(0).max(86_400_000).default(DEFAULT_REST_MS),
    /** Maximum number of moves for balance per minute. */
    movesPerMinute: z.int().min(0).max(10_000).default(DEFAULT_MOVES_PER_MINUTE),
});

type Objective = z.infer<typeof Objective>;

export { Objective };
