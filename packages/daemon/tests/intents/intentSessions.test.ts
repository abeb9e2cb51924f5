import { Metrics, RandomSource, type RowKey, type ServiceId } from "@arbutusdoor/common";
import { expect, test } from "vitest";
import { getIntentKey } from "../../src/intents/getIntentKey.js";
import { IntentSweeper } from "../../src/intents/intentSweeper.js";
import { IntentSession } from "./intentSession.js";

test("of two hosts with the same work at once, one may send it, and a repeat gets the recorded answer", async () => {
    const session = new IntentSession();
    const a = session.createStore("a");
    const b = session.createStore("b");
    const beginnings = [session.begin("a", a), session.begin("b", b), session.begin("b", b)];
    await session.advance(5);
    const intents = (await Promise.all(beginnings)).filter(intent => intent !== undefined);
    expect(intents).toHaveLength(1);
    void a.finish(intents[0]!, session.createAnswered());
    await session.advance(5);
    void session.begin("b", b);
    void session.begin("b", b, { body: "80 soles" });
    await session.advance(5);
    await expect(session.trace).toMatchFileSnapshot("golden/twoHosts.txt");
});

test("after the table's answer to a commit is lost, the row is read back and the request may be sent", async () => {
    const session = new IntentSession();
    const a = session.createStore("a");
    const faults = ["lost", "none"] as const;
    let calls = 0;
    session.table.nextFault = () => faults[calls++] ?? "none";
    void session.begin("a", a);
    await session.advance(5);
    await expect(session.trace).toMatchFileSnapshot("golden/lostAnswer.txt");
});

test("when neither the commit nor the read back is answered, the request is refused as not run, and a later one may run", async () => {
    const session = new IntentSession();
    const a = session.createStore("a");
    session.table.nextFault = () => "late";
    session.table.isReadable = () => false;
    void session.begin("a", a);
    await session.advance(5);
    session.record("the table is back, before the late commit");
    session.table.nextFault = () => "none";
    session.table.isReadable = () => true;
    await session.advance(100);
    session.table.applyLate();
    void session.begin("b", session.createStore("b"));
    await session.advance(5);
    await expect(session.trace).toMatchFileSnapshot("golden/unsureBeginning.txt");
});

test("during an outage of the table, requests are refused or served as the class says, and outcomes are recorded afterwards", async () => {
    const session = new IntentSession();
    const a = session.createStore("a");
    session.table.nextFault = () => "out";
    session.table.isReadable = () => false;
    void session.begin("a", a);
    const serving = session.begin("a", a, { outage: "serve", name: "deposit-2" });
    await session.advance(5);
    void a.finish((await serving)!, session.createAnswered());
    await session.advance(1_000, 10);
    session.record("the table is back");
    session.table.nextFault = () => "none";
    session.table.isReadable = () => true;
    await session.advance(3_000, 10);
    void session.begin("b", session.createStore("b"), { name: "deposit-2" });
    await session.advance(5);
    await a.drain();
    await expect(session.trace).toMatchFileSnapshot("golden/storeOut.txt");
});

test("whichever step a host is killed after, a repeat never runs work that may have run", async () => {
    const session = new IntentSession();
    const b = session.createStore("b");
    session.record("killed before its intent is written: the table knows nothing");
    const second = session.begin("b", b);
    await session.advance(5);
    session.record("not run after all, and recorded so");
    void b.finish((await second)!, { kind: "notRun" });
    await session.advance(5);
    session.record("killed after its intent is written, whether the request ran or not");
    void session.begin("killed", session.createStore("killed"));
    await session.advance(5);
    void session.begin("b", b);
    await session.advance(2_000 + session.settings.marginMs, 100);
    void session.begin("b", b);
    await session.advance(5);
    session.record("killed after the end is recorded");
    const third = session.begin("c", session.createStore("c"), { name: "deposit-3" });
    await session.advance(5);
    void session.createStore("c").finish((await third)!, session.createAnswered());
    await session.advance(5);
    void session.begin("b", b, { name: "deposit-3" });
    await session.advance(5);
    await expect(session.trace).toMatchFileSnapshot("golden/killedBetweenSteps.txt");
});

test("a conflict of one write does not fail the others of its transaction", async () => {
    const session = new IntentSession();
    const a = session.createStore("a");
    void session.begin("b", session.createStore("b"), { name: "taken" });
    await session.advance(5);
    for (const name of ["one", "taken", "two"]) {
        void session.begin("a", a, { name });
    }
    await session.advance(5);
    await expect(session.trace).toMatchFileSnapshot("golden/conflictInBatch.txt");
});

test("repeats without a recorded answer are refused with the reason", async () => {
    const session = new IntentSession();
    const a = session.createStore("a");
    const first = session.begin("a", a, { name: "large" });
    await session.advance(5);
    const large = session.createAnswered();
    delete (large as { answer: { body?: string; }; }).answer.body;
    void a.finish((await first)!, large);
    const second = session.begin("a", a, { name: "unknown" });
    await session.advance(5);
    void a.finish((await second)!, { kind: "unknown" });
    await session.advance(5);
    const key: RowKey = getIntentKey(session.createRequest("a", { name: "unreadable" }));
    session.table.rows.set(key, { key, version: 3, value: { format: 2 } });
    for (const name of ["large", "unknown", "unreadable"]) {
        void session.begin("a", a, { name });
    }
    await session.advance(5);
    await expect(session.trace).toMatchFileSnapshot("golden/notAnsweredAgain.txt");
});

test("the sweep deletes only expired intents, in bounded batches", async () => {
    const session = new IntentSession();
    const a = session.createStore("a");
    const { clock, table } = session;
    const settings = { ...session.settings, sweepBatch: 1 };
    for (let number = 0; number < 40; number++) {
        void session.begin("a", a, { name: `deposit-${number}` });
    }
    await session.advance(5);
    const sweeper = new IntentSweeper({
        clock,
        table,
        settings,
        random: new RandomSource(1),
        metrics: new Metrics(),
        writer: "a",
        listServices: () => ["reservas" as ServiceId],
    });
    const sweepAll = async () => {
        const deleted: number[] = [];
        for (let part = 0; part < 4_096; part++) {
            deleted.push(await sweeper.sweepPart());
        }
        return deleted;
    };
    expect(Math.max(...await sweepAll())).toBe(0);
    clock.advance(settings.retentionMs + settings.marginMs + 3_000);
    void session.begin("a", a, { name: "fresh" });
    await session.advance(5);
    const deleted = [...await sweepAll(), ...await sweepAll()];
    expect(Math.max(...deleted)).toBe(1);
    expect(deleted.reduce((sum, count) => sum + count, 0)).toBe(40);
    expect(table.rows.size).toBe(1);
});
