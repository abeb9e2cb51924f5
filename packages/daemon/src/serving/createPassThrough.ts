import { ArbutusdoorError } from "@arbutusdoor/common";
import { Readable } from "node:stream";

/** What a passage does besides passing bytes on. */
type PassageActions = {
    /** Called with each chunk before it is passed on; an error that it returns ends the passage. */
    readonly onChunk: (chunk: Buffer) => Error | undefined;
    /** Called once when the passage has ended for whatever reason. */
    readonly onClose?: () => void;
    /** Lets go of the source when the passage has ended; `hasRead` is false when the passage asked for none of its bytes. */
    readonly release: (source: Readable, hasRead: boolean) => void;
};

/**
 * Passes a stream on, reading it on demand. Errors when the source errors or closes before its end.
 * Lighter than a transform in a pipeline, which makes several objects and an abort error for each stream.
 */
export function createPassThrough(source: Readable, { onChunk, onClose, release }: PassageActions): Readable {
    let isAttached = false;

    const passage = new Readable({
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
            source.on("data", take);
            source.on("end", end);
        }
    }

    function detach(): void {
        source.off("data", take);
        source.off("end", end);
        release(source, isAttached);
    }

    function take(chunk: Buffer): void {
        const error = onChunk(chunk);
        if (error) {
            passage.destroy(error);
        }
        else if (!passage.push(chunk)) {
            source.pause();
        }
    }

    function end(): void {
        passage.push(null);
    }

    // An error that comes when nobody reads any more concerns nobody; without a listener it would end the process.
    passage.on("error", () => undefined);
    source.pause();
    source.on("error", error => passage.destroy(error));
    source.on("close", () => {
        if (!source.readableEnded) {
            passage.destroy(new ArbutusdoorError("the body broke off"));
        }
    });
    return passage;
}
