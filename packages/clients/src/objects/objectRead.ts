/** Result of reading an object; `unavailable` does not tell whether it exists. */
export type ObjectRead =
    | { readonly kind: "found"; readonly bytes: Uint8Array; }
    | { readonly kind: "absent"; }
    | { readonly kind: "unavailable"; readonly reason: string; };
