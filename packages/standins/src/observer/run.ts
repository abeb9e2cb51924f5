/** A request that a server ran. */
export type Run = {
    readonly holder: string;
    readonly requestId: string;
    readonly idempotencyKey: string | undefined;
    readonly slice: string | undefined;
    readonly generation: number | undefined;
    readonly path: string;
    readonly from: number;
    readonly until: number;
    readonly result: "running" | "completed" | "cancelled";
};
