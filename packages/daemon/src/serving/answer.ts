import type { HeaderFields, Refusal } from "@arbutusdoor/common";
import type { Readable } from "node:stream";

/** How a request ended: with a backend server's answer, whose body stream errors if it breaks off, or with a refusal. */
export type Answer =
    | {
        readonly kind: "answered";
        readonly status: number;
        readonly headers: HeaderFields;
        readonly body: Readable;
    }
    | { readonly kind: "refusal"; readonly refusal: Refusal; };
