import type { HeaderFields } from "@arbutusdoor/common";
import type { Readable } from "node:stream";

/**
 * How an exchange ended: `head` (the body follows as a stream that errors unless it arrives whole);
 * `notSent` (no byte was handed to a connection, and none will be);
 * `lost` (bytes may have reached the other side, whose answer did not arrive).
 */
export type HttpOutcome =
    | {
        readonly kind: "head";
        readonly status: number;
        readonly headers: HeaderFields;
        readonly body: Readable;
    }
    | {
        readonly kind: "notSent";
        readonly isCancelled: boolean;
        /** Whether the other machine said that nobody listens at the port. */
        readonly isRefused: boolean;
        readonly reason: string;
    }
    | { readonly kind: "lost"; readonly isCancelled: boolean; readonly reason: string; };
