import { type Clock, type LogEvent, type LogFields, Logger } from "@arbutusdoor/common";

/** A logger that passes each line to a function instead of the console. */
export class LogRecorder extends Logger {
    private readonly note: (line: string) => void;

    constructor(clock: Clock, note: (line: string) => void) {
        super(clock, "test");
        this.note = note;
    }

    override log(event: LogEvent, fields: LogFields = {}): void {
        const details = Object.entries(fields)
            .filter(([, value]) => value !== undefined)
            .map(([name, value]) => `${name}=${value}`);
        this.note([event, ...details].join(" "));
    }
}
