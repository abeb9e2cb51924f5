/** How a request ended at a server, as its sender sees it. */
export type ServerEnd = { readonly kind: "answered" | "notRun" | "unknown"; readonly cause: string; };
