import type { HeaderFields, Refusal } from "@arbutusdoor/common";
import type { Readable } from "node:stream";

/** Result of a request: a backend server's answer, whose body stream errors if it is truncated, or a refusal. */
export type Answer =
    | {
        readonly kind: "answered";
        readonly status: number;
        readonly headers: HeaderFields;
        readonly body: Readable;
    }
    | { readonly kind: "refusal"; readonly refusal: Refusal; };
