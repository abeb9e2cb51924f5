import type { ServerNotice } from "../backends/serverNotice.js";

/**
 * How an order to a server ended: `done`; `fenced` (the server has seen a higher fencing token); `otherServer` (another server has the
 * address, so the named one no longer runs there); `invalid` (the server does not understand the order); `unsent` (no connection could be opened, so
 * that the order was not sent and never will be); `notConnected` (the same, as none may be opened now); `unknown` (it may be carried out,
 * now or later).
 */
export type OrderOutcome =
    | { readonly kind: "done"; readonly handover?: string; readonly notice?: ServerNotice; }
    | { readonly kind: "fenced"; readonly notice?: ServerNotice; }
    | { readonly kind: "otherServer" | "notConnected" | "invalid"; }
    | { readonly kind: "unsent" | "unknown"; readonly reason: string; };
