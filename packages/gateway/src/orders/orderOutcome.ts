import type { ServerNotice } from "../backends/serverNotice.js";

/**
 * How an order to a server ended: `done`; `fenced` (the server has seen a higher fencing token); `otherServer` (another server has the
 * address, so the named one no longer runs there); `notListening` (nobody listens at the address); `invalid` (the server does not
 * understand the order); `notConnected` (not sent, as no connection is open and none may be opened now); `unknown` (it may be carried out, now or later).
 */
export type OrderOutcome =
    | { readonly kind: "done"; readonly handover?: string; readonly notice?: ServerNotice; }
    | { readonly kind: "fenced"; readonly notice?: ServerNotice; }
    | { readonly kind: "otherServer" | "notListening" | "notConnected" | "invalid"; }
    | { readonly kind: "unknown"; readonly reason: string; };
