import type { Digest } from "@arbutusdoor/common";
import { createHash, type Hash } from "node:crypto";
import { Readable } from "node:stream";

/** Result of capturing an answer's body. */
type CapturedBody =
    | { readonly kind: "whole"; readonly bytes: Buffer; readonly digest: Digest; }
    /** Larger than the limit: `body` streams it, and `ended` resolves to its digest, or `undefined` if it is truncated. */
    | { readonly kind: "large"; readonly body: Readable; readonly ended: Promise<Digest | undefined>; }
    | { readonly kind: "broken"; };

/** Reads a body into memory up to a limit in bytes; a longer one is streamed while its digest is computed. Never rejects. */
export async function captureBody(body: Readable, limitBytes: number): Promise<CapturedBody> {
    const hash = createHash("sha256");
    const chunks: Buffer[] = [];
    let length = 0;
    const reader = body[Symbol.asyncIterator]() as AsyncIterator<Buffer | string>;
    try {
        for (let next = await reader.next(); !next.done; next = await reader.next()) {
            const chunk = Buffer.from(next.value);
            hash.update(chunk);
            chunks.push(chunk);
            length += chunk.length;
            if (length > limitBytes) {
                return streamRest(chunks, reader, hash);
            }
        }
    }
    catch {
        return { kind: "broken" };
    }
    return { kind: "whole", bytes: Buffer.concat(chunks), digest: hash.digest("hex") as Digest };
}

function streamRest(
    chunks: readonly Buffer[],
    reader: AsyncIterator<Buffer | string>,
    hash: Hash,
): CapturedBody {
    let end: (digest: Digest | undefined) => void;
    const ended = new Promise<Digest | undefined>(resolve => {
        end = resolve;
    });
    const body = Readable.from(readRest(chunks, reader, hash, digest => end(digest)), { objectMode: false });
    body.once("close", () => {
        end(undefined);
        void reader.return?.();
    });
    return { kind: "large", body, ended };
}

async function* readRest(
    chunks: readonly Buffer[],
    reader: AsyncIterator<Buffer | string>,
    hash: Hash,
    onEnd: (digest: Digest) => void,
): AsyncGenerator<Buffer> {
    yield* chunks;
    for (let next = await reader.next(); !next.done; next = await reader.next()) {
        const chunk = Buffer.from(next.value);
        hash.update(chunk);
        yield chunk;
    }
    onEnd(hash.digest("hex") as Digest);
}
