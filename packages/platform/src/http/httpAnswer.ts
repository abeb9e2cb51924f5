/** How a whole exchange with an outside system ended; `notRun` and `unknown` say whether it can have taken the request. */
export type HttpAnswer =
    | { readonly kind: "answer"; readonly status: number; readonly bytes: Uint8Array; }
    | { readonly kind: "notRun"; readonly reason: string; }
    | { readonly kind: "unknown"; readonly reason: string; };
