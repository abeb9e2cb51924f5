import type { Digest } from "@arbutusdoor/common";

/** Distinguishes a repeat of a request from a different request with the same idempotency key. */
export type Fingerprint = {
    /** Digest of method and path. */
    readonly target: Digest;
    /** Digest of the body; `undefined` for a streamed body, whose bytes are not known before the request is sent. */
    readonly body: Digest | undefined;
};
