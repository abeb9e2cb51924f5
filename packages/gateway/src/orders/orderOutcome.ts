/**
 * How an order to a server ended: `done`; `fenced` (the server has seen a higher fence);
 * `otherServer` (another server has the address: the named one is gone from it); `notListening` (nobody listens at the address);
 * `invalid` (the server does not understand the order); `unknown` (it may be carried out, now or later).
 */
export type OrderOutcome =
    | { readonly kind: "done"; readonly handover?: string; }
    | { readonly kind: "fenced" | "otherServer" | "notListening" | "invalid"; }
    | { readonly kind: "unknown"; readonly reason: string; };
