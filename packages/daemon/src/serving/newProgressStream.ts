import { ArbutusdoorError, type Clock, type Milliseconds } from "@arbutusdoor/common";
import { pipeline, type Readable, Transform } from "node:stream";

/**
 * Passes a stream on and ends it with an error when no byte moves for `timeout`, whichever side stands still.
 * @param onStall called once, before the error, when that happens
 */
export function newProgressStream(
    source: Readable,
    clock: Clock,
    timeout: Milliseconds,
    onStall: () => void,
): Readable {
    let lastProgress = clock.now();
    let timer = clock.schedule(timeout, check);
    const passage = new Transform({
        transform(chunk, _encoding, callback) {
            lastProgress = clock.now();
            callback(undefined, chunk);
        },
    });

    function check(): void {
        const idle = clock.now() - lastProgress;
        if (idle < timeout) {
            timer = clock.schedule(timeout - idle, check);
            return;
        }
        onStall();
        passage.destroy(new ArbutusdoorError(`no byte moved for ${timeout} ms`));
    }

    pipeline(source, passage, () => undefined);
    passage.once("close", () => timer.cancel());
    return passage;
}
