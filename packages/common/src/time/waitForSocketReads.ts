import { setImmediate } from "node:timers/promises";

/**
 * Resolves once the event loop has read all sockets once more. A callback of `setImmediate` runs after the turn that is under way has read
 * its sockets, which may have been before this call; the second one follows a whole turn.
 */
export async function waitForSocketReads(): Promise<void> {
    await setImmediate();
    await setImmediate();
}
