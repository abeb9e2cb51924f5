import { ArbutusdoorError, type Clock, type Milliseconds } from "@arbutusdoor/common";
import type { Readable } from "node:stream";
import { createPassThrough } from "./createPassThrough.js";

/**
 * Creates a pass-through stream that errors when no byte moves for `timeout`, whichever side stalls.
 * @param onStall called once before that error
 * @param release releases the source at the end; destroys it by default
 */
export function createProgressStream(
    source: Readable,
    clock: Clock,
    timeout: Milliseconds,
    onStall: () => void,
    release: (source: Readable, hasRead: boolean) => void = destroySource,
): Readable {
    let lastProgressAt = clock.now();
    let timer = clock.schedule(timeout, check);
    const passThrough = createPassThrough(source, {
        release,
        onChunk: () => {
            lastProgressAt = clock.now();
            return undefined;
        },
        onClose: () => timer.cancel(),
    });

    function check(): void {
        const idle = clock.now() - lastProgressAt;
        if (idle < timeout) {
            timer = clock.schedule(timeout - idle, check);
            return;
        }
        onStall();
        passThrough.destroy(new ArbutusdoorError(`no byte moved for ${timeout} ms`));
    }

    return passThrough;
}

function destroySource(source: Readable): void {
    source.destroy();
}
