import { SystemClock } from "@arbutusdoor/common";
import { cac } from "cac";
import { writeFileSync } from "node:fs";
import { CallerSettings } from "./caller/callerSettings.js";
import { getSummary } from "./caller/getSummary.js";
import { runCallers } from "./caller/runCallers.js";

const cli = cac("caller");
cli.option("--entry <address>", "IP number and port of an entry host; may be repeated");
cli.option("--read <service>", "service to read from; may be repeated");
cli.option("--file <service>", "service to file with, once only; may be repeated");
cli.option("--upload <service>", "service to upload to; may be repeated");
cli.option("--name <name>", "names the requests of this run apart from those of others");
cli.option("--seed <number>", "seed of the random numbers");
cli.option("--count <number>", "requests in all");
cli.option("--rate <number>", "requests a second");
cli.option("--seconds <number>", "time after which no more requests are sent");
cli.option("--in-flight <number>", "requests under way at a time");
cli.option("--keys <number>", "keys that requests are about");
cli.option("--upload-bytes <number>", "length of the longest upload");
cli.option("--repeats <number>", "repeats of a filing without an answer");
cli.option("--timeout-ms <number>", "time until a caller gives an attempt up");
cli.option("--log <file>", "file that what the callers saw is written to, as JSON");
cli.help();
const { options } = cli.parse();
if (!options.help) {
    await run();
}

async function run(): Promise<void> {
    const settings = CallerSettings.parse({
        name: toText(options.name),
        seed: toNumber(options.seed),
        entryHosts: toList(options.entry),
        reads: toList(options.read),
        filings: toList(options.file),
        uploads: toList(options.upload),
        count: toNumber(options.count),
        requestsPerSecond: toNumber(options.rate),
        seconds: toNumber(options.seconds),
        inFlight: toNumber(options.inFlight),
        keys: toNumber(options.keys),
        uploadBytes: toNumber(options.uploadBytes),
        repeats: toNumber(options.repeats),
        timeoutMs: toNumber(options.timeoutMs),
    });
    const stop = new AbortController();
    process.once("SIGTERM", () => stop.abort());
    process.once("SIGINT", () => stop.abort());
    const log = await runCallers(settings, new SystemClock(), stop.signal);
    if (options.log !== undefined) {
        writeFileSync(String(options.log), JSON.stringify(log));
    }
    process.stdout.write(`${JSON.stringify(getSummary(log))}\n`);
}

function toList(value: unknown): string[] {
    return value === undefined ? [] : [value].flat().map(String);
}

function toNumber(value: unknown): number | undefined {
    return value === undefined ? undefined : Number(value);
}

function toText(value: unknown): string | undefined {
    return value === undefined ? undefined : String(value);
}
