import * as z from "zod";

/** Cost factors and limits of move planning. Loads are in units of a server's fair share. */
const MovePlanSettings = z.strictObject({
    /** Load of a server, in fair shares, up to which no slice is moved off it for balance. */
    tolerance: z.number().min(1).max(100).default(1.3),
    /** Mean utilization of the slots below which nothing is moved for balance. */
    minUtilization: z.number().min(0).max(1).default(0.02),
    /** Cost of moving the fair key share of one server. */
    churnPrice: z.number().min(0).max(1_000).default(2),
    /** Cost of one fair load share being unavailable for a second. */
    unavailabilityPrice: z.number().min(0).max(1_000).default(1),
    /** Time in ms that a slice is expected to be unavailable while it moves. */
    moveMs: z.number().min(0).max(600_000).default(100),
    /** Moves off leaving servers in one plan. */
    maxLeavingMoves: z.int().min(1).max(100_000).default(64),
    /** Moves for balance in one plan. */
    maxBalanceMoves: z.int().min(0).max(10_000).default(4),
    /** Time in ms over which the load limit of a new server grows to its fair share. */
    warmUpMs: z.number().min(0).max(3_600_000).default(30_000),
    /** Load of a key, in fair shares, from which it gets a slice of its own. */
    splitShare: z.number().min(0).max(100).default(0.5),
    /** Single-key slices that a service may have. */
    maxSingleKeySlices: z.int().min(0).max(100_000).default(256),
});

type MovePlanSettings = z.infer<typeof MovePlanSettings>;

export { MovePlanSettings };
