import type { HeaderFields } from "@arbutusdoor/common";
import type { Readable } from "node:stream";

/**
 * Result of a request to a backend server: `answered` (head received; the body stream emits an error if it is truncated);
 * `notRun` (no byte of the request can have reached the server, or the server reported that it did not run it);
 * `unknown` (it may have run).
 */
export type BackendAnswer =
    | {
        readonly kind: "answered";
        readonly status: number;
        readonly headers: HeaderFields;
        readonly body: Readable;
    }
    | {
        readonly kind: "notRun";
        readonly cause: "unreachable" | "shed" | "stale" | "leaving" | "cancelled";
        readonly detail: string;
    }
    | { readonly kind: "unknown"; readonly cause: "connectionLost" | "cancelled"; readonly detail: string; };
