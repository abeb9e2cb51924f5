import type { Attestation } from "./attestation.js";

/** Result of reading all attestations. */
export type AttestationReading =
    | { readonly kind: "attestations"; readonly attestations: readonly Attestation[]; }
    | { readonly kind: "unavailable"; readonly reason: string; };
