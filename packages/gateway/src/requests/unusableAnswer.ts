/** An answer that must not be forwarded to the caller. */
export type UnusableAnswer = { readonly kind: "broken"; readonly reason: string; };
