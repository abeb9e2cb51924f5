/** What a caller saw of one request. Every request of the simulations may run at most once. */
export type CallerEntry = {
    readonly id: string;
    readonly key: string;
    readonly sentAt: number;
    endedAt: number | undefined;
    outcome: "waiting" | "answered" | "notRun" | "unknown";
    reason: string;
};
