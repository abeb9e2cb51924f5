import type { Server } from "node:http";
import { waitForSocketReads } from "../time/waitForSocketReads.js";

/** Most rounds to wait for a server that keeps receiving connections or requests. */
const MAX_ROUNDS = 50;

/**
 * Resolves once a server has accepted the connections pending in its listen queue and has read the requests on them. Closing the port
 * resets pending connections; on a busy machine they may date from before the load balancer was notified.
 */
export async function acceptPendingConnections(server: Server): Promise<void> {
    let events = 0;
    const count = () => {
        events++;
    };
    server.on("connection", count).on("request", count);
    for (let round = 0, previous = -1; events !== previous && round < MAX_ROUNDS; round++) {
        previous = events;
        await waitForSocketReads();
    }
    server.off("connection", count).off("request", count);
}
