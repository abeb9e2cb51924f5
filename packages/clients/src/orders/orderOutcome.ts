import type { OrderReply } from "./orderReply.js";

/** Result of an order: a reply; `refused` (no process listens at the address); `silent` (no answer in time; it may have been accepted). */
export type OrderOutcome =
    | { readonly kind: "reply"; readonly reply: OrderReply; }
    | { readonly kind: "refused"; readonly reason: string; }
    | { readonly kind: "silent"; readonly reason: string; };
