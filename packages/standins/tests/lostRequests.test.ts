import { type CallerEntry, observe, type ServerJournal } from "@arbutusdoor/standins";
import { expect, test } from "vitest";

type RunEntry = Extract<ServerJournal["entries"][number], { kind: "run"; }>;
type Delivery = NonNullable<CallerEntry["delivery"]>;

const HOST = "127.0.0.1:1";
const PATH = "/ferryticket/key-0/once?call=c1";
const STOP = 10_000;
const GRACE_MS = 6_000;

/** A request that is sent 4,000 ms after SIGTERM on a connection that was opened before, and cut off 600 ms later. */
function call(changes: Partial<CallerEntry> = {}, delivery: Partial<Delivery> = {}): CallerEntry {
    return {
        name: "c1",
        attempt: 1,
        kind: "once",
        path: PATH,
        entryHost: HOST,
        sentAt: STOP + 4_000,
        endedAt: STOP + 4_600,
        outcome: "none",
        status: 0,
        requestId: "c1-1",
        isOwn: false,
        ...changes,
        delivery: {
            openedAt: STOP - 1_000,
            sentWholeAt: (changes.sentAt ?? STOP + 4_000) + 1,
            ahead: 0,
            isReused: false,
            isGivenUp: false,
            ...delivery,
        },
    };
}

function run(changes: Partial<RunEntry> = {}): RunEntry {
    return {
        kind: "run",
        requestId: "c1-1",
        method: "POST",
        path: PATH,
        started: STOP + 4_010,
        ended: STOP + 4_600,
        result: "cancelled",
        ...changes,
    };
}

function listLost(entry: CallerEntry, ...runs: RunEntry[]): readonly string[] {
    const journal: ServerJournal = {
        kind: "backendServer",
        server: "ferryticket-1",
        incarnation: "ferryticket-1-1",
        dropped: 0,
        entries: runs,
    };
    const stops = { graceMs: GRACE_MS, timeoutMs: 1_200, stops: [{ entryHost: HOST, at: STOP }] };
    const { findings } = observe([journal], [entry], { toleranceMs: 5, lostServers: [], stops });
    return findings.filter(({ kind }) => kind === "lost").map(({ detail }) => detail);
}

test("a request that a server ran and that is cut off without an answer is lost", () => {
    expect(listLost(call(), run())).toEqual([
        "127.0.0.1:1, ms from SIGTERM: sent 4000 to 4001 behind 0 others, none 4600; cancelled at ferryticket-1/ferryticket-1-1",
    ]);
});

test.each<[string, CallerEntry, RunEntry[]]>([
    ["ran, and its answer broke off", call({ outcome: "broken", status: 200 }), [
        run({ result: "completed" }),
    ]],
    ["ran, and was cut off within the slack", call({ endedAt: STOP + 4_100 }), [run()]],
    ["ran, and was cut off shortly before its deadline", call({ endedAt: STOP + 5_150 }), [run()]],
    ["ran, and was cut off after the close was announced", call({}, { closeAnnouncedAt: STOP + 3_000 }), [
        run(),
    ]],
    ["no server ran, on a connection opened ahead", call(), []],
    [
        "no server ran, on a connection that had carried an answer",
        call({}, {
            openedAt: STOP + 3_990,
            isReused: true,
        }),
        [],
    ],
    [
        "no server ran, sent long before the close was announced",
        call({}, { closeAnnouncedAt: STOP + 4_300 }),
        [],
    ],
    ["its server worked on and the host answered itself", call({ outcome: "unknown", status: 502 }), [run()]],
    [
        "was sent late and at work when the process ended",
        call({
            sentAt: STOP + 4_800,
            endedAt: STOP + 5_700,
        }),
        [run({ started: STOP + 4_810, ended: STOP + 5_700 })],
    ],
])("a request that %s is lost", (...[, entry, runs]) => {
    expect(listLost(entry, ...runs)).toHaveLength(1);
});

test.each<[string, CallerEntry, RunEntry[]]>([
    ["was answered", call({ outcome: "answered", status: 200, isOwn: true }), [run({ result: "completed" })]],
    ["was refused and did not run", call({ outcome: "notRun", status: 503 }), []],
    ["its server failed", call({ outcome: "unknown", status: 500 }), [run({ result: "completed" })]],
    ["its caller gave up", call({}, { isGivenUp: true }), [run()]],
    ["had no time left", call({ endedAt: STOP + 5_200 }), [run()]],
    [
        "was answered with a 504 at its deadline, by another clock",
        call({
            endedAt: STOP + 5_199,
            outcome: "unknown",
            status: 504,
        }),
        [run()],
    ],
    ["was not sent whole", call({}, { sentWholeAt: undefined }), [run()]],
    ["crossed the close", call({ endedAt: STOP + 4_150 }), []],
    ["was sent after the announcement of the close", call({}, { closeAnnouncedAt: STOP + 3_900 }), []],
    ["crossed the announcement of the close", call({}, { closeAnnouncedAt: STOP + 4_100 }), []],
    ["may not have been accepted", call({}, { openedAt: STOP + 3_990 }), []],
    [
        "was sent early and at work in the last sixth of the grace time",
        call({
            sentAt: STOP + 2_900,
            endedAt: STOP + 5_100,
        }),
        [run({ ended: STOP + 5_100 })],
    ],
    ["ended before the SIGTERM", call({ sentAt: STOP - 900, endedAt: STOP - 300 }), [run()]],
    ["was sent to another host", call({ entryHost: "127.0.0.1:2" }), [run()]],
])("a request that %s is not lost", (...[, entry, runs]) => {
    expect(listLost(entry, ...runs)).toEqual([]);
});
