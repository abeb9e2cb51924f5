import type { ConnectionId, HeaderFields } from "@arbutusdoor/common";
import type { Readable } from "node:stream";

/**
 * Result of an exchange: `head` (the body follows as a stream that emits an error if it is truncated);
 * `notSent` (no byte was written to a connection, and none will be);
 * `lost` (bytes may have reached the other side, and no answer arrived).
 */
export type HttpOutcome =
    | {
        readonly kind: "head";
        readonly status: number;
        readonly headers: HeaderFields;
        readonly body: Readable;
        readonly connection: ConnectionId | undefined;
    }
    | {
        readonly kind: "notSent";
        readonly isCancelled: boolean;
        /** Whether the connection was refused because nothing listens at the port. */
        readonly isRefused: boolean;
        /** Whether the request was not to be sent any more when it got its connection. */
        readonly isWithheld: boolean;
        readonly reason: string;
    }
    | {
        readonly kind: "lost";
        readonly isCancelled: boolean;
        readonly reason: string;
        readonly connection: ConnectionId | undefined;
    };
