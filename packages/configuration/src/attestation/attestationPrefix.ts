/** Prefix of the keys of all attestation rows. */
export const ATTESTATION_PREFIX = "attested/";
