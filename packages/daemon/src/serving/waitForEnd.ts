import type { Readable } from "node:stream";

/** Resolves once a stream has ended, failed or been destroyed. */
export function waitForEnd(stream: Readable): Promise<void> {
    return new Promise(resolve => {
        if (stream.closed) {
            resolve();
            return;
        }
        stream.once("close", resolve);
        stream.once("error", () => resolve());
    });
}
