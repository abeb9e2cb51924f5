import { type Clock, RandomSource } from "@arbutusdoor/common";
import { Agent } from "undici";
import type { Call } from "./call.js";
import type { CallerEntry } from "./callerEntry.js";
import type { CallerLog } from "./callerLog.js";
import type { CallerProtocol } from "./callerProtocol.js";
import type { CallerSettings } from "./callerSettings.js";
import { newCall } from "./newCall.js";
import { sendCall } from "./sendCall.js";

const MS_PER_SECOND = 1_000;

/** Sends seeded requests at a bounded rate until their number or the time is used up, and returns what the callers saw. */
export async function runCallers(
    settings: CallerSettings,
    clock: Clock,
    signal: AbortSignal,
    protocol?: CallerProtocol,
): Promise<CallerLog> {
    const random = new RandomSource(settings.seed);
    const dispatcher = new Agent({ connections: settings.inFlight, pipelining: 1 });
    const entries: CallerEntry[] = [];
    const underWay = new Set<Promise<void>>();
    const interval = MS_PER_SECOND / settings.requestsPerSecond;
    const began = clock.now();
    let skipped = 0;
    for (let index = 0; index < settings.count && !signal.aborted; index++) {
        const due = began + index * interval;
        if (due - began >= settings.seconds * MS_PER_SECOND) {
            break;
        }
        await clock.sleep(Math.max(0, due - clock.now()));
        const call = newCall(settings, random, index);
        const first = random.nextInteger(settings.entryHosts.length);
        if (underWay.size >= settings.inFlight) {
            skipped++;
            continue;
        }
        const sending: Promise<void> = sendAttempts(call, first, settings, { clock, dispatcher, protocol })
            .then(attempts => void entries.push(...attempts))
            .finally(() => underWay.delete(sending));
        underWay.add(sending);
    }
    await Promise.all(underWay);
    await dispatcher.close();
    return { entries, skipped };
}

/** Sends a call and, for a filing without an answer, its repeats, each to the next entry host. */
async function sendAttempts(
    call: Call,
    first: number,
    settings: CallerSettings,
    parts: {
        readonly clock: Clock;
        readonly dispatcher: Agent;
        readonly protocol: CallerProtocol | undefined;
    },
): Promise<CallerEntry[]> {
    const { entryHosts, timeoutMs, repeats } = settings;
    const entries: CallerEntry[] = [];
    const attempts = call.kind === "once" ? 1 + repeats : 1;
    for (let attempt = 1; attempt <= attempts; attempt++) {
        const entryHost = entryHosts[(first + attempt - 1) % entryHosts.length]!;
        const entry = await sendCall(call, { ...parts, entryHost, attempt, timeoutMs });
        entries.push(entry);
        if (entry.outcome === "answered") {
            break;
        }
    }
    return entries;
}
