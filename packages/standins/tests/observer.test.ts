import { type CallerEntry, observe, type ServerJournal } from "@arbutusdoor/standins";
import { expect, test } from "vitest";

type Entry = ServerJournal["entries"][number];

const JUDGEMENT = { toleranceMs: 5, lostServers: [] };

function newJournal(server: string, ...entries: Entry[]): ServerJournal {
    return { kind: "backendServer", server, incarnation: `${server}-1`, dropped: 0, entries };
}

function own(generation: number, from: number, until: number): Entry {
    return { kind: "owned", slice: "gustboard/a", generation, from, until };
}

function run(call: string, started: number, changes: Partial<Extract<Entry, { kind: "run"; }>> = {}): Entry {
    return {
        kind: "run",
        requestId: `id-${call}`,
        slice: "gustboard/a",
        generation: 1,
        method: "GET",
        path: `/gustboard/key-1/read?call=${call}`,
        started,
        ended: started + 10,
        result: "completed",
        ...changes,
    };
}

function call(name: string, changes: Partial<CallerEntry> = {}): CallerEntry {
    return {
        name,
        attempt: 1,
        kind: "read",
        path: `/gustboard/key-1/read?call=${name}`,
        entryHost: "127.0.0.1:1",
        sentAt: 0,
        endedAt: 1,
        outcome: "answered",
        status: 200,
        requestId: `id-${name}`,
        isOwn: true,
        ...changes,
    };
}

const filing = { slice: undefined, generation: undefined, idempotencyKey: "k" };
const s1 = newJournal("s1", own(1, 0, 100), run("r1", 50), run("f1", 20, filing));
const s2 = newJournal("s2", own(2, 104, 200), run("r2", 110, { generation: 2 }));
const calls = [
    call("r1"),
    call("r2"),
    call("f1", { kind: "once" }),
    call("r3", { outcome: "notRun", isOwn: false }),
    call("r4", { outcome: "unknown", isOwn: false }),
];

test("a history that keeps the promises is clean", () => {
    expect(observe([s1, s2], calls, JUDGEMENT)).toMatchSnapshot();
});

test.each<[string, ServerJournal[], CallerEntry[]]>([
    [
        "two owners at a time",
        [s1, newJournal("s2", own(2, 94, 200), run("r2", 110, { generation: 2 }))],
        calls,
    ],
    ["two owners at one generation", [s1, newJournal("s2", own(1, 104, 200), run("r2", 110))], calls],
    ["an old generation after a new one", [s1, s2, newJournal("s3", own(1, 205, 300))], calls],
    [
        "a run before ownership",
        [s1, newJournal("s2", own(2, 120, 200), run("r2", 110, { generation: 2 }))],
        calls,
    ],
    ["a run at another generation", [
        s1,
        newJournal("s2", own(2, 104, 200), run("r2", 110, { generation: 1 })),
    ], calls],
    [
        "work at two servers at a time",
        [newJournal("s1", ...s1.entries, run("r5", 99, { ended: 140 })), s2],
        [...calls, call("r5")],
    ],
    [
        "work that never ended",
        [newJournal("s1", ...s1.entries, run("r5", 99, { ended: undefined, result: "running" })), s2],
        [...calls, call("r5", { outcome: "unknown", isOwn: false })],
    ],
    ["a filing that ran twice", [s1, newJournal("s2", ...s2.entries, run("f1", 150, filing))], calls],
    [
        "a filing that ran twice under one key",
        [s1, newJournal("s2", ...s2.entries, run("f2", 150, filing))],
        [...calls, call("f2", { kind: "once" })],
    ],
    ["a refusal that ran", [
        s1,
        s2,
        newJournal("s3", run("r3", 10, { slice: undefined, result: "cancelled" })),
    ], calls],
    [
        "a refused repeat that ran by its own id",
        [
            s1,
            s2,
            newJournal("s3", run("f1", 10, { ...filing, idempotencyKey: undefined, requestId: "id-other" })),
        ],
        [...calls, call("f1", { kind: "once", attempt: 2, outcome: "notRun", requestId: "id-other" })],
    ],
    ["an answer that nobody completed", [s1, s2], [...calls, call("r9")]],
    ["an answer of another caller", [s1, s2], [...calls, call("r1", { isOwn: false })]],
])("%s is found", (...[, journals, seen]) => {
    const { isClean, findings } = observe(journals, seen, JUDGEMENT);
    expect(isClean).toBe(false);
    expect(findings).toMatchSnapshot();
});

test("a journal that has lost entries is no proof, and a lost one leaves out what needs it", () => {
    const truncated = observe([{ ...s1, dropped: 1 }, s2], [...calls, call("r9")], JUDGEMENT);
    const lost = observe([s1, s2], [...calls, call("r9")], { ...JUDGEMENT, lostServers: ["s3"] });
    expect([truncated, lost].map(({ isClean, findings, gaps }) => ({ isClean, findings, gaps })))
        .toMatchSnapshot();
});
