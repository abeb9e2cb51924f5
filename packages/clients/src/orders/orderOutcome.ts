import type { OrderReply } from "./orderReply.js";

/** How an order ended: with a reply; `refused` (no process listens at the address); `silent` (no answer in time: it may have been taken). */
export type OrderOutcome =
    | { readonly kind: "reply"; readonly reply: OrderReply; }
    | { readonly kind: "refused"; readonly reason: string; }
    | { readonly kind: "silent"; readonly reason: string; };
