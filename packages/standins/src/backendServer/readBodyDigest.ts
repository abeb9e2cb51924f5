import { createHash } from "node:crypto";
import type { IncomingMessage } from "node:http";

/** Length and SHA-256 of a body, and whether all of it came. */
type BodyDigest = {
    readonly isWhole: boolean;
    readonly bytes: number;
    readonly sha256: string;
};

/** Reads a request's body without keeping it. Never rejects. */
export async function readBodyDigest(request: IncomingMessage): Promise<BodyDigest> {
    const hash = createHash("sha256");
    let bytes = 0;
    try {
        for await (const chunk of request as AsyncIterable<Buffer>) {
            hash.update(chunk);
            bytes += chunk.length;
        }
    }
    catch {
        return { isWhole: false, bytes, sha256: "" };
    }
    return { isWhole: request.complete, bytes, sha256: hash.digest("hex") };
}
