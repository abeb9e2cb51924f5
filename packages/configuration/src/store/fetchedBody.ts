/** Result of fetching the text of a declaration. */
export type FetchedBody =
    | { readonly kind: "fetched"; readonly body: string; }
    | { readonly kind: "unavailable"; readonly reason: string; };
