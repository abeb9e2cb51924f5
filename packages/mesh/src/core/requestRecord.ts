import type { Refusal } from "@arbutusdoor/common";

/** What a host has recorded about a request id: it runs here, ran here, was refused here, or was reported as not received and is barred. */
export type RequestRecord =
    | { readonly kind: "running"; }
    | { readonly kind: "ran"; }
    | { readonly kind: "refused"; readonly refusal: Refusal; }
    | { readonly kind: "barred"; };
