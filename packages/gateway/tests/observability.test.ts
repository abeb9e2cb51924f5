import { type LogEvent, ManualClock } from "@arbutusdoor/common";
import { closeSync, mkdtempSync, openSync, readFileSync, rmSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { expect, onTestFinished, test } from "vitest";
import { LineWriter } from "../src/observability/lineWriter.js";
import { RateLimitedLogger } from "../src/observability/rateLimitedLogger.js";

/** Records lines, and reports a number of dropped ones that the test sets. */
class RecordingWriter extends LineWriter {
    readonly events: string[] = [];
    droppedLines = 0;

    constructor() {
        super(1);
    }

    override write(line: string): void {
        const { count, event, of } = JSON.parse(line) as Record<string, unknown>;
        this.events.push(
            event === "linesLeftOut" ? `${String(count)} of ${String(of)} left out` : String(event),
        );
    }

    override takeDropped(): number {
        return this.droppedLines;
    }
}

test("pattern overload: lines of an event are limited per second, ordinary ones to fewer, and those left out are counted", () => {
    const clock = new ManualClock();
    const recorder = new RecordingWriter();
    const logger = new RateLimitedLogger(clock, "host", recorder);
    const write = (event: LogEvent, times: number) => Array.from({ length: times }, () => logger.log(event));
    write("requestAnswered", 1_000);
    write("requestFailed", 1_000);
    write("invariantBroken", 150);
    const counts = ["requestAnswered", "requestFailed", "invariantBroken"].map(event =>
        recorder.events.filter(other => other === event).length
    );
    expect(counts).toEqual([4, 100, 150]);
    recorder.events.length = 0;
    clock.advance(1_000);
    recorder.droppedLines = 7;
    write("requestFailed", 1);
    expect(recorder.events).toEqual(["900 of requestFailed left out", "7 of all left out", "requestFailed"]);
});

test("lines are written in order without waiting for the output", async () => {
    const directory = mkdtempSync(join(tmpdir(), "lines-"));
    onTestFinished(() => rmSync(directory, { recursive: true }));
    const path = join(directory, "log");
    const descriptor = openSync(path, "w");
    onTestFinished(() => closeSync(descriptor));
    const writer = new LineWriter(descriptor);
    const lines = Array.from({ length: 500 }, (_, index) => `line ${index}`);
    lines.forEach(line => writer.write(line));
    await expect.poll(() => readFileSync(path, "utf8")).toBe(`${lines.join("\n")}\n`);
});

// Guards against processes that ended by themselves without the line that says why.
test("lines that wait behind others are written before the process ends", () => {
    const directory = mkdtempSync(join(tmpdir(), "lines-"));
    onTestFinished(() => rmSync(directory, { recursive: true }));
    const path = join(directory, "log");
    const descriptor = openSync(path, "a");
    onTestFinished(() => closeSync(descriptor));
    const writer = new LineWriter(descriptor);
    ["first", "second", "last"].forEach(line => writer.write(line));
    writer.writeAll();
    expect(readFileSync(path, "utf8")).toMatch(/second\nlast\n/);
});

test("lines beyond the limit are dropped and counted", () => {
    const descriptor = openSync("/dev/null", "r");
    onTestFinished(() => closeSync(descriptor));
    const writer = new LineWriter(descriptor);
    const long = "x".repeat(100_000);
    Array.from({ length: 20 }, () => writer.write(long));
    expect(writer.takeDropped()).toBeGreaterThan(5);
    expect(writer.takeDropped()).toBe(0);
});
