import { InputError } from "@arbutusdoor/common";
import type { Readable } from "node:stream";
import { createPassThrough } from "../serving/createPassThrough.js";

/**
 * Creates a body stream that errors when it exceeds its limit or when its source is truncated. It never destroys its source,
 * so that a refusal can still be sent on the caller's connection.
 */
export function createLimitedBody(source: Readable, limitBytes: number): Readable {
    let received = 0;
    return createPassThrough(source, {
        release: () => source.resume(),
        onChunk: chunk => {
            received += chunk.length;
            const isTooLong = received > limitBytes;
            return isTooLong
                ? new InputError(`the body is longer than the limit of ${limitBytes} bytes`)
                : undefined;
        },
    });
}
