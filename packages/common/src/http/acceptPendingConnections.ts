import type { Server } from "node:http";
import { waitForSocketReads } from "../time/waitForSocketReads.js";

/** A port that is never quiet closes after this many looks. */
const MAX_ROUNDS = 50;

/**
 * Resolves once a server has accepted the connections that waited for it and has read the requests on them. Closing its port would
 * reset those: on a busy machine they may have waited since before the balancer was told.
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
