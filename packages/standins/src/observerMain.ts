import { cac } from "cac";
import { readFileSync } from "node:fs";
import { request } from "undici";
import { CallerLog } from "./caller/callerLog.js";
import { observe } from "./observer/observe.js";
import { ServerJournal } from "./observer/serverJournal.js";

const DEFAULT_TOLERANCE_MS = 25;
const FAULT_EXIT_CODE = 1;

const cli = cac("observer");
cli.option("--journal <place>", "file or URL of a backend server's journal; may be repeated");
cli.option("--callers <file>", "callers' log; may be repeated");
cli.option("--lost <server>", "server whose journal was lost with it; may be repeated");
cli.option("--tolerance-ms <number>", "time by which two readings of the wall clock may differ", {
    default: DEFAULT_TOLERANCE_MS,
});
cli.help();
const { options } = cli.parse();
if (!options.help) {
    await run();
}

async function run(): Promise<void> {
    const texts = await Promise.all(toList(options.journal).map(read));
    const journals = texts.map(text => ServerJournal.parse(JSON.parse(text)));
    const logs = await Promise.all(toList(options.callers).map(read));
    const calls = logs.flatMap(text => CallerLog.parse(JSON.parse(text)).entries);
    const toleranceMs = Number(options.toleranceMs);
    const verdict = observe(journals, calls, { toleranceMs, lostServers: toList(options.lost) });
    process.stdout.write(`${JSON.stringify(verdict, undefined, 2)}\n`);
    process.exitCode = verdict.isClean ? 0 : FAULT_EXIT_CODE;
}

async function read(place: string): Promise<string> {
    if (!place.startsWith("http://")) {
        return readFileSync(place, "utf8");
    }
    const answer = await request(place);
    return await answer.body.text();
}

function toList(value: unknown): string[] {
    return value === undefined ? [] : [value].flat().map(String);
}
