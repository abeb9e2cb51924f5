import { createHash, timingSafeEqual } from "node:crypto";

/** Whether a proof is the expected one; compares them in constant time. */
export function isValidProof(proof: string, expected: string): boolean {
    return timingSafeEqual(hash(proof), hash(expected));
}

function hash(text: string): Buffer {
    return createHash("sha256").update(text).digest();
}
