import { createHash } from "node:crypto";
import type { IncomingMessage } from "node:http";

/** Length and SHA-256 of a body, and whether all of it came. */
type BodyDigest = {
    readonly isWhole: boolean;
    readonly bytes: number;
    readonly sha256: string;
};

/** Reads a request's body without keeping it, until the signal ends the wait and the connection. Never rejects. */
export async function readBodyDigest(request: IncomingMessage, signal: AbortSignal): Promise<BodyDigest> {
    const hash = createHash("sha256");
    let bytes = 0;
    const end = () => request.destroy();
    signal.addEventListener("abort", end, { once: true });
    try {
        for await (const chunk of request as AsyncIterable<Buffer>) {
            hash.update(chunk);
            bytes += chunk.length;
        }
    }
    catch {
        return { isWhole: false, bytes, sha256: "" };
    }
    finally {
        signal.removeEventListener("abort", end);
    }
    return { isWhole: request.complete, bytes, sha256: hash.digest("hex") };
}
