import type { Refusal } from "@arbutusdoor/common";

/** What a host knows of a request id: it runs here, ran here, was refused here, or was never received and is barred. */
export type RequestRecord =
    | { readonly kind: "running"; }
    | { readonly kind: "ran"; }
    | { readonly kind: "refused"; readonly refusal: Refusal; }
    | { readonly kind: "barred"; };
