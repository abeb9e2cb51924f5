import type { Readable } from "node:stream";

/** A body read into memory, or why that failed. */
type BufferedBody =
    | { readonly kind: "whole"; readonly bytes: Uint8Array; }
    | { readonly kind: "broken"; readonly reason: string; };

/** Reads a stream into memory, up to a limit in bytes. Never rejects. */
export async function bufferBody(stream: Readable, limitBytes: number): Promise<BufferedBody> {
    const chunks: Buffer[] = [];
    let length = 0;
    try {
        for await (const chunk of stream as AsyncIterable<Buffer>) {
            chunks.push(chunk);
            length += chunk.length;
            if (length > limitBytes) {
                return { kind: "broken", reason: "the answer is longer than the limit" };
            }
        }
    }
    catch (error) {
        return { kind: "broken", reason: error instanceof Error ? error.message : "the body broke off" };
    }
    return { kind: "whole", bytes: Buffer.concat(chunks) };
}
