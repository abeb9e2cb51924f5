/** An answer that must not be passed on. */
export type UnusableAnswer = { readonly kind: "broken"; readonly reason: string; };
