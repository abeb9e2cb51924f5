import * as z from "zod";

/** Limits of retries. */
const RetryBudgetSettings = z.strictObject({
    /** Retries that each first attempt adds to the budget. */
    share: z.number().min(0).max(1).default(0.1),
    /** Retries that a class may save up. */
    maxTokens: z.number().min(0).max(1_000_000).default(50),
    /** Retries that a class starts with. */
    initialTokens: z.number().min(0).max(1_000_000).default(5),
    /** Service and class pairs with budgets of their own; the least recently used one is dropped first. */
    maxClasses: z.int().min(1).max(1_000_000).default(4_096),
});

type RetryBudgetSettings = z.infer<typeof RetryBudgetSettings>;

export { RetryBudgetSettings };
