import type { Clock, Milliseconds } from "@arbutusdoor/common";
import type { Readable } from "node:stream";

/** A refusal has a body of a few hundred bytes; reading a longer one costs more than a new connection. */
const DISCARDED_BYTES = 65_536;

/** Reads a short body to its end so that its connection can be reused. A long body, or one that exceeds the timeout, is destroyed. */
export function discardBody(body: Readable, clock: Clock, timeout: Milliseconds): void {
    let bytes = 0;
    const timer = clock.schedule(timeout, () => body.destroy());
    body.on("close", () => timer.cancel());
    body.on("data", (chunk: Buffer) => {
        bytes += chunk.length;
        if (bytes > DISCARDED_BYTES) {
            body.destroy();
        }
    });
}
