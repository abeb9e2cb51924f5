import type { HeaderFields } from "@arbutusdoor/common";

/** How a whole exchange with an outside system ended; `notRun` and `unknown` say whether it can have taken the request. */
export type HttpAnswer =
    | {
        readonly kind: "answer";
        readonly status: number;
        readonly headers: HeaderFields;
        readonly bytes: Uint8Array;
    }
    | {
        readonly kind: "notRun";
        /** Whether the other machine said that nobody listens at the port. */
        readonly isRefused?: boolean;
        readonly reason: string;
    }
    | { readonly kind: "unknown"; readonly reason: string; };
