import type { Clock, Milliseconds, Timer } from "@arbutusdoor/common";
import { WatchEvent } from "@arbutusdoor/configuration";
import type { Readable } from "node:stream";
import type { CallFailure } from "../client/callFailure.js";
import { getFailure } from "../client/getFailure.js";
import { getReason } from "../client/getReason.js";
import { readLines } from "../client/readLines.js";
import type { ExitName } from "../exitCodes.js";
import { Command } from "./command.js";
import type { CommandContext } from "./commandContext.js";
import { commands } from "./commands.js";
import { failOnRead } from "./failOnRead.js";

const WATCH_CALL = { method: "GET", path: "/v1/watch" } as const;
const SUCCESS_STATUS = 200;
/** Idle limit of the stream, unless --timeout is longer: hosts send an empty line every few seconds when there are no events. */
const MAX_IDLE_MS = 15_000;
const MAX_EVENTS = 1_000_000_000;

/** Prints the events of one host as they occur. */
export class WatchCommand extends Command {
    override readonly name = "watch";
    override readonly synopsis = "";
    override readonly description = "Print the events of the first host that answers, until interrupted";
    override readonly options = [{ flag: "--count <events>", description: "Stop after so many events" }];

    override async run(context: CommandContext): Promise<ExitName> {
        const count = context.getInteger("count", 1, MAX_EVENTS) ?? MAX_EVENTS;
        const failures: CallFailure[] = [];
        for (const host of context.getClient().hosts) {
            const result = await watchHost(context, host, count);
            if (typeof result === "string") {
                return result;
            }
            failures.push(result);
        }
        return failOnRead(context, { kind: "unreachable", failures });
    }
}

/** Watches one host. A failure before the answer is returned, so that the next host can be tried. */
async function watchHost(
    context: CommandContext,
    host: string,
    count: number,
): Promise<ExitName | CallFailure> {
    const client = context.getClient();
    const abortController = new AbortController();
    const watchdog = new Watchdog(context.clock, client.timeoutMs, () => abortController.abort());
    try {
        const answer = await client.send(host, WATCH_CALL, abortController.signal);
        if (answer.statusCode !== SUCCESS_STATUS) {
            const reason = getReason(answer.statusCode, await answer.body.json());
            return failOnRead(context, { kind: "refused", host, json: undefined, reason });
        }
        watchdog.setLimit(Math.max(client.timeoutMs, MAX_IDLE_MS));
        // Aborting after the last requested event makes the body emit an error that nothing else would handle.
        answer.body.on("error", () => undefined);
        return await printEvents(context, host, answer.body, count, watchdog);
    }
    catch (error) {
        return getFailure(host, error, client.timeoutMs);
    }
    finally {
        watchdog.cancel();
        abortController.abort();
    }
}

async function printEvents(
    context: CommandContext,
    host: string,
    body: Readable,
    count: number,
    watchdog: Watchdog,
): Promise<ExitName> {
    let printed = 0;
    try {
        for await (const line of readLines(body)) {
            watchdog.reset();
            printed += printEvent(context, line) ? 1 : 0;
            if (printed === count) {
                return "done";
            }
        }
    }
    catch {
        // The stream broke off, which is reported below.
    }
    const reason = `${host} ended the stream after ${printed} events`;
    return context.fail("unreachable", { kind: "ended", host, printed }, [reason]);
}

function printEvent(context: CommandContext, line: string): boolean {
    if (line === "") {
        return false;
    }
    const event = WatchEvent.safeParse(parseLine(line));
    if (!event.success) {
        context.fail("unreachable", { kind: "unreadable", line }, [`an event cannot be read: ${line}`]);
        return true;
    }
    const { at, event: name, fields } = event.data;
    const details = Object.entries(fields).map(([field, value]) => `${field}=${value}`);
    context.report(event.data, [[new Date(at).toISOString(), name, ...details].join(" ")]);
    return true;
}

function parseLine(line: string): unknown {
    try {
        return JSON.parse(line);
    }
    catch {
        return undefined;
    }
}

/** Calls `onTimeout` when it is not reset within a time limit. */
class Watchdog {
    private readonly clock: Clock;
    private limitMs: Milliseconds;
    private readonly onTimeout: () => void;
    private timer: Timer | undefined;

    constructor(clock: Clock, limitMs: Milliseconds, onTimeout: () => void) {
        this.clock = clock;
        this.limitMs = limitMs;
        this.onTimeout = onTimeout;
        this.reset();
    }

    setLimit(limitMs: Milliseconds): void {
        this.limitMs = limitMs;
        this.reset();
    }

    reset(): void {
        this.timer?.cancel();
        this.timer = this.clock.schedule(this.limitMs, this.onTimeout);
    }

    cancel(): void {
        this.timer?.cancel();
    }
}

commands.register(new WatchCommand());
