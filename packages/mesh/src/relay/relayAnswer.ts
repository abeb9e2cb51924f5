import type { HeaderFields, Refusal } from "@arbutusdoor/common";
import type { Readable } from "node:stream";

/** Result of a relayed request: the backend server's answer, whose body emits an error if it is truncated, or a refusal. */
export type RelayAnswer =
    | {
        readonly kind: "answered";
        readonly status: number;
        readonly headers: HeaderFields;
        readonly body: Readable;
    }
    | { readonly kind: "refusal"; readonly refusal: Refusal; };
