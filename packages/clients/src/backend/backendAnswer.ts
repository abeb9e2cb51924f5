import type { HeaderFields } from "@arbutusdoor/common";
import type { Readable } from "node:stream";

/**
 * How a request to a backend server ended: `answered` (head received; the body stream errors if it breaks off);
 * `notRun` (no byte of the request can have reached the server, or the server said that it did not run it);
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
