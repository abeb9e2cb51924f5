import {
    type Clock,
    type LogFields,
    type Logger,
    type Milliseconds,
    waitForSocketReads,
} from "@arbutusdoor/common";
import type { CallerPort } from "../requests/callerPort.js";
import { getStopTimes } from "./getStopTimes.js";

/** Dependencies of a shutdown. */
type ShutdownParts = {
    readonly clock: Clock;
    readonly logger: Logger;
    readonly callerPort: CallerPort;
    /** Gives up the coordinator lease and all links. */
    readonly resign: () => Promise<void>;
};

/** The graceful shutdown of a host: gives the load balancer time to notice, and finishes every request that was read. */
export class GracefulShutdown {
    private readonly parts: ShutdownParts;

    constructor(parts: ShutdownParts) {
        this.parts = parts;
    }

    /** Shuts down within the grace time. Returns what ended the shutdown, for the log. */
    async run(graceMs: Milliseconds): Promise<LogFields> {
        const { callerPort, clock } = this.parts;
        const startedAt = clock.now();
        const { finishMs, listenMs } = getStopTimes(graceMs);
        callerPort.announceClose(listenMs, finishMs);
        const resignation = this.resign();
        await clock.sleep(listenMs);
        const endsAt = startedAt + listenMs + finishMs;
        const cause = await Promise.race([
            Promise.all([callerPort.close(), resignation]).then(() => "drained"),
            clock.sleep(endsAt - clock.now()).then(() => "timeLimit"),
        ]);
        // Answers that have arrived are passed on before the process ends.
        await waitForSocketReads();
        callerPort.logCutOff();
        return { cause, stopMs: Math.round(clock.now() - startedAt), ...callerPort.describe() };
    }

    /** Resigns. Never rejects: the shutdown goes on, and the lease expires by itself. */
    private async resign(): Promise<void> {
        try {
            await this.parts.resign();
        }
        catch (error) {
            this.parts.logger.log("resignationFailed", { error: (error as Error).message });
        }
    }
}
