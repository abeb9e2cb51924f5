import type { Readable } from "node:stream";

/** A caller's body: none, completely read (it can be sent again), or still arriving (it can be sent once). */
export type GatewayBody =
    | { readonly kind: "none"; }
    | { readonly kind: "whole"; readonly bytes: Uint8Array; }
    | { readonly kind: "arriving"; readonly stream: Readable; };
