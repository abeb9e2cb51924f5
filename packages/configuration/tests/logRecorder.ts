import { type Clock, type LogEvent, type LogFields, Logger } from "@arbutusdoor/common";

/** A logger that passes each line to a function instead of the console. */
export class LogRecorder extends Logger {
    private readonly record: (line: string) => void;

    constructor(clock: Clock, record: (line: string) => void) {
        super(clock, "test");
        this.record = record;
    }

    override log(event: LogEvent, fields: LogFields = {}): void {
        const details = Object.entries(fields)
            .filter(([, value]) => value !== undefined)
            .map(([name, value]) => `${name}=${value}`);
        this.record([event, ...details].join(" "));
    }
}
