/** Result of reading an object: `unavailable` says nothing about whether it exists. */
export type ObjectRead =
    | { readonly kind: "found"; readonly bytes: Uint8Array; }
    | { readonly kind: "absent"; }
    | { readonly kind: "unavailable"; readonly reason: string; };
