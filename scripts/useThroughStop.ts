import { type Clock, RandomSource } from "@arbutusdoor/common";
import { type Call, type CallerEntry, type CallerProtocol, CallerSocket } from "@arbutusdoor/standins";

const CONNECTIONS = 60;
/** Time after SIGTERM up to which callers send, and up to which they open connections. */
const SENDING_MS = 6_300;
const OPENING_MS = 2_700;
/** Shares of connections: opened before SIGTERM, first used long after they were opened, and each of the other habits. */
const AHEAD_SHARE = 0.7;
const LATE_SHARE = 0.7;
const HABIT_SHARE = 0.2;
const BURST = 3;
const MAX_SEED = 2 ** 30;
const MIN_WORK_MS = 100;
const WORK_SPAN_MS = 700;
/** Answers of this length are streamed. */
const LONG_ANSWER_BYTES = 700_000;
const READ_PAUSE_MS = 40;
const BODY_BYTES = 1_200;
const MAX_CUTS = 4;
const PIECE_PAUSE_MS = 150;
/** Longest head of these callers, where a body begins. */
const HEAD_BYTES = 250;
const PAUSES_MS = [0, 30, 300, 1_000];
const EMPTY_LINE = "\r\n";

/** Whom callers use and how, with the time on `clock` at which their host gets SIGTERM. */
type StopCallers = {
    readonly clock: Clock;
    readonly protocol: CallerProtocol;
    readonly entryHost: string;
    readonly timeoutMs: number;
    readonly random: RandomSource;
    readonly stopAt: number;
    /** Services of idempotent requests, and of requests that may run once. */
    readonly services: Readonly<Record<"read" | "once", string>>;
    /** Puts a name before those of this stop's requests. */
    readonly prefix: string;
};

/** Uses a host over many connections, each in its own way, until its process is gone; resolves with all that the callers saw. */
export async function useThroughStop(callers: StopCallers): Promise<readonly CallerEntry[]> {
    const { clock, random, stopAt } = callers;
    const now = clock.now();
    const connections = Array.from({ length: CONNECTIONS }, (_, index) => {
        const isAhead = random.nextFraction() < AHEAD_SHARE;
        const openAt = isAhead
            ? now + random.nextInteger(stopAt - now)
            : stopAt + random.nextInteger(OPENING_MS);
        const isLate = random.nextFraction() < LATE_SHARE;
        const useAt = isLate ? stopAt + random.nextInteger(SENDING_MS) : openAt;
        // The draws of a connection do not depend on how the others fare.
        const own = { ...callers, random: new RandomSource(random.nextInteger(MAX_SEED)) };
        return use(own, `${callers.prefix}-${index}`, openAt, Math.max(openAt, useAt));
    });
    return (await Promise.all(connections)).flat();
}

/** One connection: opened, used first and then again and again, until a close is announced or seen. */
async function use(
    callers: StopCallers,
    name: string,
    openAt: number,
    useAt: number,
): Promise<readonly CallerEntry[]> {
    const { clock, random, stopAt } = callers;
    const isLong = random.nextFraction() < HABIT_SHARE;
    const burst = !isLong && random.nextFraction() < HABIT_SHARE ? BURST : 1;
    const pauseMs = random.pick(PAUSES_MS);
    const trailer = random.nextFraction() < HABIT_SHARE ? EMPTY_LINE : "";
    const getCuts = random.pick([() => [], () => [], () => drawCuts(0), () => drawCuts(HEAD_BYTES)]);
    await clock.sleep(Math.max(0, openAt - clock.now()));
    const connection = new CallerSocket({ ...callers, readPauseMs: isLong ? READ_PAUSE_MS : 0 });
    await clock.sleep(Math.max(0, useAt - clock.now()));
    const entries: CallerEntry[] = [];
    while (connection.isUsable && clock.now() < stopAt + SENDING_MS) {
        const sent = Array.from({ length: burst }, (_, index) => {
            const call = newCall(callers, `${name}-${entries.length + index}`, isLong, burst);
            return connection.send(call, { cuts: getCuts(), pauseMs: PIECE_PAUSE_MS, trailer });
        });
        entries.push(...await Promise.all(sent));
        await clock.sleep(pauseMs);
    }
    connection.close();
    return entries;

    function drawCuts(from: number): readonly number[] {
        const span = from === 0 ? HEAD_BYTES : BODY_BYTES;
        const cuts = Array.from(
            { length: 1 + random.nextInteger(MAX_CUTS) },
            () => from + 1 + random.nextInteger(span),
        );
        return cuts.sort((one, other) => one - other);
    }
}

function newCall({ random, services }: StopCallers, name: string, isLong: boolean, burst: number): Call {
    const kind = random.pick(["read", "once", "once"] as const);
    const workMs = Math.round((MIN_WORK_MS + random.nextInteger(WORK_SPAN_MS)) / burst);
    const bytes = isLong ? `&bytes=${1 + random.nextInteger(LONG_ANSWER_BYTES)}` : "";
    const path = `/${services[kind]}/key-0/${kind}?call=${name}&delay=${workMs}${bytes}`;
    return kind === "read"
        ? { name, kind, method: "GET", path, headers: {}, body: undefined }
        : { name, kind, method: "POST", path, headers: {}, body: Buffer.alloc(BODY_BYTES, name) };
}
