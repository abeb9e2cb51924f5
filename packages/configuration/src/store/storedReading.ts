import type { StoredConfiguration } from "./storedConfiguration.js";

/** Result of reading the rows of the configuration. */
export type StoredReading =
    | { readonly kind: "stored"; readonly stored: StoredConfiguration; }
    | { readonly kind: "unavailable"; readonly reason: string; }
    | { readonly kind: "malformed"; readonly reason: string; };
