import type { Socket } from "node:net";
import type { Clock } from "../time/clock.js";

/** Some round trips; a caller normally closes its side as soon as it has the answer. */
const LINGER_MS = 500;

/**
 * Lets the HTTP server close a connection after its last answer only once the caller has closed its own side, or has had time for it. The
 * server's usual way closes both sides at once; the kernel then answers whatever still comes with a reset, and drops what it has not sent.
 */
export function closeAfterCaller(socket: Socket, clock: Clock): void {
    socket.destroySoon = () => {
        socket.end(() => {
            const timer = clock.schedule(LINGER_MS, () => socket.destroy());
            socket.once("close", () => timer.cancel());
        });
    };
}
