import type { Milliseconds } from "@arbutusdoor/common";
import type { ObservedLoad } from "./observedLoad.js";

/**
 * Returns the expected time until a further request starts at a server: the work ahead of it divided by the rate at which slots become
 * free.
 *
 * @param sent requests sent to the server since it reported its load
 * @param workMs usual work time of a request
 */
export function getTimeToStart(load: ObservedLoad, sent: number, workMs: Milliseconds): Milliseconds {
    const ahead = load.running + load.waiting + sent - load.slots + 1;
    return ahead <= 0 ? 0 : ahead * workMs * load.slowness / load.slots;
}
