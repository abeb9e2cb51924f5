import type { ClassId, Milliseconds, RequestId, ServiceId } from "@arbutusdoor/common";
import type { Fingerprint } from "./fingerprint.js";

/** A request that has to run at most once. */
export type IntentRequest = {
    readonly requestId: RequestId;
    readonly tenant: string;
    readonly service: ServiceId;
    readonly classId: ClassId;
    readonly key: string | undefined;
    /** The caller's identifier of the work. */
    readonly idempotencyKey: string;
    readonly fingerprint: Fingerprint;
    /** Time left until the deadline. */
    readonly deadline: Milliseconds;
    /** What to do while the table service is unavailable. */
    readonly outage: "refuse" | "serve";
};
