import type { Clock, Timer } from "@arbutusdoor/common";
import type { WatchEvent } from "@arbutusdoor/configuration";
import type { ServerResponse } from "node:http";
import type { OperatorSettings } from "./operatorSettings.js";

const FAREWELL_LIMIT_MS = 1_000;

/** One reader of events: newline-delimited JSON with a bounded buffer. A reader that falls behind is told so and dropped. */
export class WatchStream {
    private readonly response: ServerResponse;
    private readonly clock: Clock;
    private readonly settings: OperatorSettings;
    private heartbeat: Timer | undefined;
    private isEnded = false;

    constructor(response: ServerResponse, clock: Clock, settings: OperatorSettings) {
        this.response = response;
        this.clock = clock;
        this.settings = settings;
        response.writeHead(200, { "content-type": "application/x-ndjson", "cache-control": "no-store" });
        response.flushHeaders();
        this.beat();
    }

    /** Sends one event. `false` when the reader was too slow and has been dropped. */
    send(event: WatchEvent): boolean {
        if (this.response.writableLength > this.settings.watchBufferBytes) {
            this.end("watcherTooSlow");
            return false;
        }
        this.response.write(JSON.stringify(event) + "\n");
        return true;
    }

    /** Says why and ends the stream; a reader that doesn't take the rest in time is cut off. */
    end(event: "watcherTooSlow" | "hostStopping"): void {
        if (this.isEnded) {
            return;
        }
        this.close();
        this.response.end(JSON.stringify({ at: this.clock.wallTime(), event, fields: {} }) + "\n");
        const timer = this.clock.schedule(FAREWELL_LIMIT_MS, () => this.response.destroy());
        this.response.once("close", () => timer.cancel());
    }

    /** Stops the heartbeat; for a reader that has gone. */
    close(): void {
        this.isEnded = true;
        this.heartbeat?.cancel();
    }

    private beat(): void {
        this.heartbeat = this.clock.schedule(this.settings.watchHeartbeatMs, () => {
            this.response.write("\n");
            this.beat();
        });
    }
}
