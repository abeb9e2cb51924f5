import type { Clock, Milliseconds } from "@arbutusdoor/common";
import type { ServerEnd } from "./serverEnd.js";
import type { SimulatedRequest } from "./simulatedRequest.js";
import type { SimulatedServer } from "./simulatedServer.js";

const HOP_MS = 1;
const OPEN_CONNECTION_MS = 1;

/** The connections of one host to one server. They stay open, and one carries one request at a time. */
export class Link {
    readonly server: SimulatedServer;
    private readonly clock: Clock;
    private idle = 0;

    constructor(clock: Clock, server: SimulatedServer) {
        this.clock = clock;
        this.server = server;
    }

    /** Sends a request there and its outcome back. When aborted on the way the outcome is what is known by then. */
    async send(request: SimulatedRequest, signal: AbortSignal): Promise<ServerEnd> {
        await this.clock.sleep(HOP_MS + this.takeConnection());
        const end = await this.server.serve(request, signal);
        this.idle++;
        if (!signal.aborted) {
            await this.clock.sleep(HOP_MS);
        }
        return end;
    }

    private takeConnection(): Milliseconds {
        if (this.idle > 0) {
            this.idle--;
            return 0;
        }
        this.server.connections++;
        this.server.peakConnections = Math.max(this.server.peakConnections, this.server.connections);
        return OPEN_CONNECTION_MS;
    }
}
