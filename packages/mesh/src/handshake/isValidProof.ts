import { createHash, timingSafeEqual } from "node:crypto";

/** Compares two proofs in a time that does not depend on where they differ. */
export function isValidProof(proof: string, expected: string): boolean {
    return timingSafeEqual(hash(proof), hash(expected));
}

function hash(text: string): Buffer {
    return createHash("sha256").update(text).digest();
}
