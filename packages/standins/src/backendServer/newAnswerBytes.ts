import { createHash } from "node:crypto";
import { Readable } from "node:stream";

const LINES_PER_CHUNK = 1_024;

/** A long answer: the request's id over and over, with its SHA-256. */
export function newAnswerBytes(
    requestId: string,
    length: number,
): { readonly sha256: string; readonly body: Readable; } {
    const chunk = Buffer.from(`${requestId}\n`.repeat(LINES_PER_CHUNK));
    const hash = createHash("sha256");
    for (const part of getParts(chunk, length)) {
        hash.update(part);
    }
    return { sha256: hash.digest("hex"), body: Readable.from(getParts(chunk, length)) };
}

function* getParts(chunk: Buffer, length: number): Generator<Buffer> {
    for (let left = length; left > 0; left -= chunk.length) {
        yield chunk.subarray(0, Math.min(left, chunk.length));
    }
}
