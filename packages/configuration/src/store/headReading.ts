import type { ConfigurationHead } from "./configurationHead.js";

/** Result of reading the head row; `head` is `undefined` before the first submission. */
export type HeadReading =
    | { readonly kind: "head"; readonly head: ConfigurationHead | undefined; }
    | { readonly kind: "unavailable"; readonly reason: string; }
    | { readonly kind: "malformed"; readonly reason: string; };
