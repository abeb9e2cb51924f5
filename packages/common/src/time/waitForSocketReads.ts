import { setImmediate } from "node:timers/promises";

/**
 * Resolves once the event loop has polled all sockets after this call. The first `setImmediate` callback can run in the current turn, which
 * may have polled its sockets before this call; the second one follows a complete turn.
 */
export async function waitForSocketReads(): Promise<void> {
    await setImmediate();
    await setImmediate();
}
