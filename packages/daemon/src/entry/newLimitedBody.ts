import { InputError } from "@arbutusdoor/common";
import { Readable } from "node:stream";

/**
 * A body stream that errors when it grows beyond its limit or when its source breaks off. It reads its source on demand
 * and never destroys it, so that the caller's connection can still carry a refusal.
 */
export function newLimitedBody(source: Readable, limitBytes: number): Readable {
    let received = 0;
    let isAttached = false;

    const body = new Readable({
        read() {
            if (!isAttached) {
                isAttached = true;
                source.on("data", take);
                source.on("end", () => body.push(null));
            }
            source.resume();
        },
        destroy(error, callback) {
            source.off("data", take);
            source.resume();
            callback(error);
        },
    });

    function take(chunk: Buffer): void {
        received += chunk.length;
        if (received > limitBytes) {
            body.destroy(new InputError(`the body is longer than the limit of ${limitBytes} bytes`));
        }
        else if (!body.push(chunk)) {
            source.pause();
        }
    }

    source.pause();
    source.on("error", error => body.destroy(error));
    source.on("close", () => {
        if (!source.readableEnded) {
            body.destroy(new InputError("the caller broke off the body"));
        }
    });
    return body;
}
