import {
    type Clock,
    LOG_EVENTS,
    type LogEvent,
    type LogFields,
    Logger,
    type Milliseconds,
} from "@arbutusdoor/common";
import type { LineWriter } from "./lineWriter.js";

const PERIOD_MS = 1_000;
/** Lines per second for each event that reports a failure; a busy host fails some 30 requests a second at worst. */
const FAILURE_LINES = 100;
/** Lines per second for each event that reports an ordinary request: enough to follow what the host does. */
const ORDINARY_LINES = 4;
const ORDINARY: ReadonlySet<LogEvent> = new Set<LogEvent>(["requestAnswered"]);

/** Lines of one event in the current period. */
type Count = { written: number; omitted: number; };

/** A logger with a limited rate for each event: lines beyond it are left out and counted. Ordinary requests have a lower limit. */
export class RateLimitedLogger extends Logger {
    private readonly time: Clock;
    private readonly writer: LineWriter;
    private readonly counts = new Map<LogEvent, Count>();
    private periodStart: Milliseconds;

    constructor(clock: Clock, origin: string, writer: LineWriter) {
        super(clock, origin, "info", line => writer.write(line));
        this.time = clock;
        this.writer = writer;
        this.periodStart = clock.now();
    }

    override log(event: LogEvent, fields: LogFields = {}): void {
        this.beginPeriod();
        const count = this.counts.get(event) ?? { written: 0, omitted: 0 };
        this.counts.set(event, count);
        const { level } = LOG_EVENTS[event];
        const limit = ORDINARY.has(event) ? ORDINARY_LINES : FAILURE_LINES;
        if (count.written >= limit && level !== "error") {
            count.omitted++;
            return;
        }
        count.written++;
        super.log(event, fields);
    }

    private beginPeriod(): void {
        if (this.time.now() - this.periodStart < PERIOD_MS) {
            return;
        }
        this.periodStart = this.time.now();
        for (const [event, { omitted }] of this.counts) {
            if (omitted > 0 && !ORDINARY.has(event)) {
                super.log("linesLeftOut", { of: event, count: omitted });
            }
        }
        this.counts.clear();
        const dropped = this.writer.takeDropped();
        if (dropped > 0) {
            super.log("linesLeftOut", { of: "all", count: dropped, cause: "the output was not read" });
        }
    }
}
