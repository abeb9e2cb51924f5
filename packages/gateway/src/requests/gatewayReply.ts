import type { HeaderFields, Milliseconds } from "@arbutusdoor/common";
import type { Readable } from "node:stream";

/**
 * Reply to a caller: the server's answer; a refusal (with the outcome `not-run` only when no server can have run the request); or
 * none, as the caller has disconnected.
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
        /** Delay after which the caller may send the request again; set for `not-run` refusals only. */
        readonly retryAfterMs?: Milliseconds;
    }
    | { readonly kind: "gone"; };
