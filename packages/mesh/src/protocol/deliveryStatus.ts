import type { Refusal } from "@arbutusdoor/common";

/**
 * What a host reports about a request whose link was lost: `notReceived` (not received, and barred from now on),
 * `refused` (received and refused) or `received` (it runs, ran or may have run).
 */
export type DeliveryStatus =
    | { readonly kind: "notReceived"; }
    | { readonly kind: "refused"; readonly refusal: Refusal; }
    | { readonly kind: "received"; };
