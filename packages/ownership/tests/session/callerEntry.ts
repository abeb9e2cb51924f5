/** What a caller saw of one request; every request of the sessions is of the kind that must run at most once. */
export type CallerEntry = {
    readonly id: string;
    readonly key: string;
    readonly sentAt: number;
    endedAt: number | undefined;
    outcome: "waiting" | "answered" | "notRun" | "unknown";
    reason: string;
};
