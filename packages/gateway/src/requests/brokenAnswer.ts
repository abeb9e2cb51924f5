/** An answer that must not be passed on. */
export type BrokenAnswer = { readonly kind: "broken"; readonly reason: string; };
