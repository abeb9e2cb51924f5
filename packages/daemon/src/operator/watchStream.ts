import type { Clock, Timer } from "@arbutusdoor/common";
import type { WatchEvent } from "@arbutusdoor/configuration";
import type { ServerResponse } from "node:http";
import type { OperatorSettings } from "./operatorSettings.js";

const END_TIMEOUT_MS = 1_000;

/** Event stream to one reader: newline-delimited JSON with a bounded buffer. Notifies and drops a reader that falls behind. */
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
        this.scheduleHeartbeat();
    }

    /** Sends one event; returns `false` when the reader was too slow and has been dropped. */
    send(event: WatchEvent): boolean {
        if (this.response.writableLength > this.settings.watchBufferBytes) {
            this.end("watcherTooSlow");
            return false;
        }
        this.response.write(JSON.stringify(event) + "\n");
        return true;
    }

    /** Sends the reason as a last event and ends the stream; a reader that doesn't read the rest in time is disconnected. */
    end(event: "watcherTooSlow" | "hostStopping"): void {
        if (this.isEnded) {
            return;
        }
        this.close();
        this.response.end(JSON.stringify({ at: this.clock.wallTime(), event, fields: {} }) + "\n");
        const timer = this.clock.schedule(END_TIMEOUT_MS, () => this.response.destroy());
        this.response.once("close", () => timer.cancel());
    }

    /** Stops the heartbeat without writing; for a reader that has disconnected. */
    close(): void {
        this.isEnded = true;
        this.heartbeat?.cancel();
    }

    private scheduleHeartbeat(): void {
        this.heartbeat = this.clock.schedule(this.settings.watchHeartbeatMs, () => {
            this.response.write("\n");
            this.scheduleHeartbeat();
        });
    }
}
