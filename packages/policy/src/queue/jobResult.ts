import type { Refusal } from "@arbutusdoor/common";

/** How a submitted job ended: with the value of its run, or refused without having been started. */
export type JobResult<Value> =
    | { readonly kind: "done"; readonly value: Value; }
    | { readonly kind: "refusal"; readonly refusal: Refusal; };
