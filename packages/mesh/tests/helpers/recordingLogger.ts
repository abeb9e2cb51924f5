import { type Clock, type LogEvent, type LogFields, Logger } from "@arbutusdoor/common";

/** Passes log events to a simulation instead of printing them. */
export class RecordingLogger extends Logger {
    private readonly record: (line: string) => void;

    constructor(clock: Clock, record: (line: string) => void) {
        super(clock, "recording", "silent");
        this.record = record;
    }

    override log(event: LogEvent, fields: LogFields = {}): void {
        const details = Object.entries(fields).filter(([name]) => name !== "address");
        this.record(["log", event, ...details.map(([name, value]) => `${name}=${value}`)].join(" "));
    }
}
