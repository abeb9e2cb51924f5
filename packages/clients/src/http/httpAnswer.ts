import type { HeaderFields } from "@arbutusdoor/common";

/** Result of a call to an outside system. `notRun`: the system did not run the request; `unknown`: it may have run it. */
export type HttpAnswer =
    | {
        readonly kind: "answer";
        readonly status: number;
        readonly headers: HeaderFields;
        readonly bytes: Uint8Array;
    }
    | {
        readonly kind: "notRun";
        /** Whether the connection was refused because nothing listens at the port. */
        readonly isRefused?: boolean;
        readonly reason: string;
    }
    | { readonly kind: "unknown"; readonly reason: string; };
