import type { Milliseconds } from "@arbutusdoor/common";

/** What a backend server reads from the fields of a request. */
export type ServiceRequest = {
    readonly requestId: string;
    readonly idempotencyKey: string | undefined;
    readonly slice: string | undefined;
    readonly generation: number | undefined;
    readonly deadline: Milliseconds | undefined;
    readonly method: string;
    readonly path: string;
    /** Extra time in ms that the caller asks for by `?delay=`. */
    readonly delay: Milliseconds;
    /** Length of the answer that the caller asks for by `?bytes=`. */
    readonly answerBytes: number | undefined;
};
