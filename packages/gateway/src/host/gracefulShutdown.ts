import type { Clock, LogFields, Milliseconds } from "@arbutusdoor/common";
import type { CallerPort } from "../requests/callerPort.js";
import { getStopTimes } from "./getStopTimes.js";

/** Dependencies of a shutdown. */
type ShutdownParts = {
    readonly clock: Clock;
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
        const getElapsed = () => Math.round(clock.now() - startedAt);
        const { finishMs, listenMs } = getStopTimes(graceMs);
        callerPort.announceClose(listenMs, finishMs);
        let resignationMs: number | undefined;
        const resigned = this.parts.resign().then(() => {
            resignationMs = getElapsed();
        });
        await clock.sleep(listenMs);
        const cause = await Promise.race([
            Promise.all([callerPort.close(), resigned]).then(() => "drained"),
            clock.sleep(finishMs).then(() => "timeLimit"),
        ]);
        callerPort.logCutOff();
        return { cause, stopMs: getElapsed(), resignationMs, ...callerPort.describe() };
    }
}
