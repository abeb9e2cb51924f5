import { ArbutusdoorError } from "@arbutusdoor/common";
import { Readable } from "node:stream";

/** Callbacks of a pass-through stream. */
type PassThroughCallbacks = {
    /** Called with each chunk before it is passed on; a returned error destroys the stream. */
    readonly onChunk: (chunk: Buffer) => Error | undefined;
    /** Called once when the stream has ended for any reason. */
    readonly onClose?: () => void;
    /** Releases the source when the stream has ended; `hasRead` is false when no bytes were requested from the source. */
    readonly release: (source: Readable, hasRead: boolean) => void;
};

/**
 * Creates a stream that passes its source on, reading it on demand. Errors when the source errors or closes before its
 * end. Cheaper than a transform in a pipeline, which creates several objects and an abort error for each stream.
 */
export function createPassThrough(
    source: Readable,
    { onChunk, onClose, release }: PassThroughCallbacks,
): Readable {
    let isAttached = false;

    const passThrough = new Readable({
        read() {
            attach();
            source.resume();
        },
        destroy(error, callback) {
            detach();
            onClose?.();
            callback(error);
        },
    });

    function attach(): void {
        if (!isAttached) {
            isAttached = true;
            source.on("data", forward);
            source.on("end", end);
        }
    }

    function detach(): void {
        source.off("data", forward);
        source.off("end", end);
        release(source, isAttached);
    }

    function forward(chunk: Buffer): void {
        const error = onChunk(chunk);
        if (error) {
            passThrough.destroy(error);
        }
        else if (!passThrough.push(chunk)) {
            source.pause();
        }
    }

    function end(): void {
        passThrough.push(null);
    }

    // An error after the last reader has gone is irrelevant, but without a listener it would end the process.
    passThrough.on("error", () => undefined);
    source.pause();
    source.on("error", error => passThrough.destroy(error));
    source.on("close", () => {
        if (!source.readableEnded) {
            passThrough.destroy(new ArbutusdoorError("the body broke off"));
        }
    });
    return passThrough;
}
