import { Metrics, RandomSource, type RowKey, type ServiceId } from "@arbutusdoor/common";
import { expect, test } from "vitest";
import { getIntentKey } from "../../src/intents/getIntentKey.js";
import { IntentSweeper } from "../../src/intents/intentSweeper.js";
import { IntentSimulation } from "./intentSimulation.js";

test("of two hosts with the same work at once, one may send it, and a repeat gets the recorded answer", async () => {
    const simulation = new IntentSimulation();
    const a = simulation.createStore("a");
    const b = simulation.createStore("b");
    const beginnings = [simulation.begin("a", a), simulation.begin("b", b), simulation.begin("b", b)];
    await simulation.advance(5);
    const intents = (await Promise.all(beginnings)).filter(intent => intent !== undefined);
    expect(intents).toHaveLength(1);
    void a.finish(intents[0]!, simulation.createAnswered());
    await simulation.advance(5);
    void simulation.begin("b", b);
    void simulation.begin("b", b, { body: "80 soles" });
    await simulation.advance(5);
    await expect(simulation.trace).toMatchFileSnapshot("golden/twoHosts.txt");
});

test("after the table's answer to a commit is lost, the row is read back and the request may be sent", async () => {
    const simulation = new IntentSimulation();
    const a = simulation.createStore("a");
    const faults = ["lost", "none"] as const;
    let calls = 0;
    simulation.table.nextFault = () => faults[calls++] ?? "none";
    void simulation.begin("a", a);
    await simulation.advance(5);
    await expect(simulation.trace).toMatchFileSnapshot("golden/lostAnswer.txt");
});

test("when neither the commit nor the read back is answered, the request is refused as not run, and a later one may run", async () => {
    const simulation = new IntentSimulation();
    const a = simulation.createStore("a");
    simulation.table.nextFault = () => "late";
    simulation.table.isReadable = () => false;
    void simulation.begin("a", a);
    await simulation.advance(5);
    simulation.record("the table is back, before the late commit");
    simulation.table.nextFault = () => "none";
    simulation.table.isReadable = () => true;
    await simulation.advance(100);
    simulation.table.applyLate();
    void simulation.begin("b", simulation.createStore("b"));
    await simulation.advance(5);
    await expect(simulation.trace).toMatchFileSnapshot("golden/unsureBeginning.txt");
});

test("during an outage of the table, requests are refused or served as the class says, and outcomes are recorded afterwards", async () => {
    const simulation = new IntentSimulation();
    const a = simulation.createStore("a");
    simulation.table.nextFault = () => "out";
    simulation.table.isReadable = () => false;
    void simulation.begin("a", a);
    const serving = simulation.begin("a", a, { outage: "serve", name: "deposit-2" });
    await simulation.advance(5);
    void a.finish((await serving)!, simulation.createAnswered());
    await simulation.advance(1_000, 10);
    simulation.record("the table is back");
    simulation.table.nextFault = () => "none";
    simulation.table.isReadable = () => true;
    await simulation.advance(3_000, 10);
    void simulation.begin("b", simulation.createStore("b"), { name: "deposit-2" });
    await simulation.advance(5);
    await a.drain();
    await expect(simulation.trace).toMatchFileSnapshot("golden/storeOut.txt");
});

test("whichever step a host is killed after, a repeat never runs work that may have run", async () => {
    const simulation = new IntentSimulation();
    const b = simulation.createStore("b");
    simulation.record("killed before its intent is written: the table knows nothing");
    const second = simulation.begin("b", b);
    await simulation.advance(5);
    simulation.record("not run after all, and recorded so");
    void b.finish((await second)!, { kind: "notRun" });
    await simulation.advance(5);
    simulation.record("killed after its intent is written, whether the request ran or not");
    void simulation.begin("killed", simulation.createStore("killed"));
    await simulation.advance(5);
    void simulation.begin("b", b);
    await simulation.advance(2_000 + simulation.settings.marginMs, 100);
    void simulation.begin("b", b);
    await simulation.advance(5);
    simulation.record("killed after the end is recorded");
    const third = simulation.begin("c", simulation.createStore("c"), { name: "deposit-3" });
    await simulation.advance(5);
    void simulation.createStore("c").finish((await third)!, simulation.createAnswered());
    await simulation.advance(5);
    void simulation.begin("b", b, { name: "deposit-3" });
    await simulation.advance(5);
    await expect(simulation.trace).toMatchFileSnapshot("golden/killedBetweenSteps.txt");
});

test("a conflict of one write does not fail the others of its transaction", async () => {
    const simulation = new IntentSimulation();
    const a = simulation.createStore("a");
    void simulation.begin("b", simulation.createStore("b"), { name: "taken" });
    await simulation.advance(5);
    for (const name of ["one", "taken", "two"]) {
        void simulation.begin("a", a, { name });
    }
    await simulation.advance(5);
    await expect(simulation.trace).toMatchFileSnapshot("golden/conflictInBatch.txt");
});

test("repeats without a recorded answer are refused with the reason", async () => {
    const simulation = new IntentSimulation();
    const a = simulation.createStore("a");
    const first = simulation.begin("a", a, { name: "large" });
    await simulation.advance(5);
    const large = simulation.createAnswered();
    delete (large as { answer: { body?: string; }; }).answer.body;
    void a.finish((await first)!, large);
    const second = simulation.begin("a", a, { name: "unknown" });
    await simulation.advance(5);
    void a.finish((await second)!, { kind: "unknown" });
    await simulation.advance(5);
    const key: RowKey = getIntentKey(simulation.createRequest("a", { name: "unreadable" }));
    simulation.table.rows.set(key, { key, version: 3, value: { format: 2 } });
    for (const name of ["large", "unknown", "unreadable"]) {
        void simulation.begin("a", a, { name });
    }
    await simulation.advance(5);
    await expect(simulation.trace).toMatchFileSnapshot("golden/notAnsweredAgain.txt");
});

test("the sweep deletes only expired intents, in bounded batches", async () => {
    const simulation = new IntentSimulation();
    const a = simulation.createStore("a");
    const { clock, table } = simulation;
    const settings = { ...simulation.settings, sweepBatch: 1 };
    for (let number = 0; number < 40; number++) {
        void simulation.begin("a", a, { name: `deposit-${number}` });
    }
    await simulation.advance(5);
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
    void simulation.begin("a", a, { name: "fresh" });
    await simulation.advance(5);
    const deleted = [...await sweepAll(), ...await sweepAll()];
    expect(Math.max(...deleted)).toBe(1);
    expect(deleted.reduce((sum, count) => sum + count, 0)).toBe(40);
    expect(table.rows.size).toBe(1);
});
