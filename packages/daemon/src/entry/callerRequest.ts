import type { Milliseconds, RequestId } from "@arbutusdoor/common";
import type { RequestClass, Service } from "@arbutusdoor/configuration";
import type { RequestBody } from "./requestBody.js";

/** A caller's request, matched against the declaration. */
export type CallerRequest = {
    readonly id: RequestId;
    readonly tenant: string;
    readonly service: Service;
    readonly requestClass: RequestClass;
    /** Present for a keyed service. */
    readonly key: string | undefined;
    readonly method: string;
    /** Path and query for the backend server. */
    readonly path: string;
    readonly headers: Readonly<Record<string, string>>;
    readonly body: RequestBody;
    /** Time of the entry host's clock by which the head of the answer must have arrived. */
    readonly deadlineAt: Milliseconds;
    /** The caller's identifier of once-only work, if given. */
    readonly idempotencyKey: string | undefined;
    /** Aborted when the caller disconnects. */
    readonly signal: AbortSignal;
};
