import { createHash } from "node:crypto";
import type { Digest } from "../ids/digest.js";

/** SHA-256 of a text, in hexadecimal. */
export function getDigest(text: string): Digest {
    return createHash("sha256").update(text).digest("hex") as Digest;
}
