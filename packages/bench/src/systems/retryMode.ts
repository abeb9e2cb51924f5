/** How a pooled system retries: within the budget, as often as the class allows without a budget, or never. */
export type RetryMode = "budget" | "unlimited" | "never";
