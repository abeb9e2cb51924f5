import { type Digest, getDigest } from "@arbutusdoor/common";
import { createHash } from "node:crypto";
import type { Fingerprint } from "./fingerprint.js";

/** Returns the fingerprint of a request. @param body its whole bytes, if known */
export function getFingerprint(method: string, path: string, body: Uint8Array | undefined): Fingerprint {
    return { target: getDigest(JSON.stringify([method, path])), body: body && hash(body) };
}

function hash(bytes: Uint8Array): Digest {
    return createHash("sha256").update(bytes).digest("hex") as Digest;
}
