import type { Digest } from "@arbutusdoor/common";

/** What tells a repeat of a request from another request under the same idempotency key. */
export type Fingerprint = {
    /** Digest of method and path. */
    readonly target: Digest;
    /** Digest of the body; `undefined` when it is not known before the request is sent. */
    readonly body: Digest | undefined;
};
