import loglevel from "loglevel";
import type { Clock } from "../time/clock.js";
import { LOG_EVENTS, type LogEvent } from "./logEvent.js";
import type { LogFields } from "./logFields.js";

type LogListener = (event: LogEvent, fields: LogFields) => void;

/** Writes numbered log events, one JSON object per line. */
export class Logger {
    private readonly sink: loglevel.Logger;
    private readonly clock: Clock;
    private readonly origin: string;
    private readonly listeners = new Set<LogListener>();

    /**
     * @param origin name of the process, printed on each line
     * @param write receives each line; defaults to the console
     */
    constructor(
        clock: Clock,
        origin: string,
        level: loglevel.LogLevelDesc = "info",
        write?: (line: string) => void,
    ) {
        this.clock = clock;
        this.origin = origin;
        this.sink = loglevel.getLogger(`arbutusdoor:${origin}`);
        if (write) {
            this.sink.methodFactory = () => write;
        }
        this.sink.setLevel(level, false);
    }

    /** Writes one event with its fields. */
    log(event: LogEvent, fields: LogFields = {}): void {
        const { number, level, text } = LOG_EVENTS[event];
        const time = new Date(this.clock.wallTime()).toISOString();
        this.sink[level](JSON.stringify({ time, number, event, text, origin: this.origin, ...fields }));
        this.listeners.forEach(listener => listener(event, fields));
    }

    /** Calls the listener with each event, whatever its level, until the returned function is called. */
    onEvent(listener: LogListener): () => void {
        this.listeners.add(listener);
        return () => this.listeners.delete(listener);
    }
}
