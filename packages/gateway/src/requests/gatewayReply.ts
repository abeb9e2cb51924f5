import type { HeaderFields, Milliseconds } from "@arbutusdoor/common";
import type { Readable } from "node:stream";

/**
 * How a request ends for its caller: the server's own answer; a refusal (`not-run` is said only when no server can have run it); or
 * nothing, since the caller has left.
 */
export type GatewayReply =
    | {
        readonly kind: "answer";
        readonly status: number;
        readonly headers: HeaderFields;
        readonly body: Uint8Array | Readable;
    }
    | {
        readonly kind: "refusal";
        readonly status: number;
        readonly reason: string;
        /** When the caller may come back with a chance; given with `not-run` refusals only. */
        readonly retryAfterMs?: Milliseconds;
    }
    | { readonly kind: "gone"; };
