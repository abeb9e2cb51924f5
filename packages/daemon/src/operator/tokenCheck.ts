import { createHash, timingSafeEqual } from "node:crypto";

const SCHEME = "Bearer ";

/** Compares bearer tokens in constant time, regardless of their lengths. */
export class TokenCheck {
    private readonly digest: Buffer;

    constructor(token: string) {
        this.digest = getTokenDigest(token);
    }

    /** Whether an Authorization header carries the token. */
    isAuthorized(header: string | undefined): boolean {
        const token = header?.startsWith(SCHEME) ? header.slice(SCHEME.length) : "";
        return timingSafeEqual(getTokenDigest(token), this.digest);
    }
}

function getTokenDigest(token: string): Buffer {
    return createHash("sha256").update(token).digest();
}
