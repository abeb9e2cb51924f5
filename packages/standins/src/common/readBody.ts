import type { IncomingMessage } from "node:http";

const BODY_LIMIT_BYTES = 67_108_864;

/** Reads a request's body into memory; `undefined` when it breaks off or is too long. */
export async function readBody(request: IncomingMessage): Promise<Buffer | undefined> {
    const chunks: Buffer[] = [];
    let length = 0;
    try {
        for await (const chunk of request as AsyncIterable<Buffer>) {
            chunks.push(chunk);
            length += chunk.length;
            if (length > BODY_LIMIT_BYTES) {
                return undefined;
            }
        }
    }
    catch {
        return undefined;
    }
    return request.complete ? Buffer.concat(chunks) : undefined;
}
