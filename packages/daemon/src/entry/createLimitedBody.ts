import { InputError } from "@arbutusdoor/common";
import type { Readable } from "node:stream";
import { createPassThrough } from "../serving/createPassThrough.js";

/**
 * A body stream that errors when it grows beyond its limit or when its source breaks off. It never destroys its source,
 * so that the caller's connection can still carry a refusal.
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
