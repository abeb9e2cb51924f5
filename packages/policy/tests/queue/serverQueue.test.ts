import { type ClassId, Metrics } from "@arbutusdoor/common";
import fc from "fast-check";
import { expect, test } from "vitest";
import { type Job, type JobResult, ServerQueue, ServerQueueSettings, StallMeter } from "../../src/index.js";
import { StallingClock } from "../support/stallingClock.js";

const START_MS = 1_000;

type Step = {
    readonly delayMs: number;
    readonly priority: number;
    readonly deadlineMs: number;
    readonly serviceMs: number;
    readonly isIdempotent: boolean;
    readonly leavesAfterMs: number | undefined;
    readonly slots: number | undefined;
};

const stepArbitrary: fc.Arbitrary<Step> = fc.record({
    delayMs: fc.nat(20),
    priority: fc.nat(3),
    deadlineMs: fc.nat(120),
    serviceMs: fc.nat(60),
    isIdempotent: fc.boolean(),
    leavesAfterMs: fc.option(fc.nat(80), { nil: undefined, freq: 4 }),
    slots: fc.option(fc.integer({ min: 0, max: 4 }), { nil: undefined, freq: 8 }),
});

test("no more jobs run than there are slots, each job settles once, and a refused job never runs", async () => {
    await fc.assert(
        fc.asyncProperty(fc.array(stepArbitrary, { maxLength: 60 }), fc.nat(6), async (steps, maxWaiting) => {
            const simulation = new Simulation(3, maxWaiting);
            for (const step of steps) {
                await simulation.advance(step.delayMs);
                simulation.submit(step);
            }
            simulation.setSlots(3);
            await simulation.advance(1_000);
            await simulation.queue.drain();
            simulation.check(steps.length);
        }),
        { seed: 1, numRuns: 300 },
    );
});

test("idempotent jobs are refused first and others last, and each refusal has its reason", async () => {
    const simulation = new Simulation(1, 2);
    simulation.submit(createStep({ serviceMs: 50 }));
    simulation.submit(createStep({ serviceMs: 50 }));
    simulation.submit(createStep({ serviceMs: 50 }));
    simulation.submit(createStep({ serviceMs: 50 }));
    simulation.submit(createStep({ isIdempotent: false }));
    simulation.submit(createStep({ isIdempotent: false, priority: 2 }));
    simulation.submit(createStep({ isIdempotent: false, deadlineMs: 5 }));
    await simulation.advance(500);
    expect(simulation.getOutcomes()).toMatchInlineSnapshot(`
      [
        "0: done at 50",
        "1: notRun shed at 0",
        "2: notRun shed at 0",
        "3: notRun queueFull at 0",
        "4: done at 70",
        "5: done at 60",
        "6: notRun shed at 0",
      ]
    `);
});

test("a waiting job is refused when its deadline passes, its caller disconnects or the host stops", async () => {
    const simulation = new Simulation(1, 10);
    simulation.submit(createStep({ serviceMs: 400 }));
    simulation.submit(createStep({ deadlineMs: 100 }));
    simulation.submit(createStep({ leavesAfterMs: 50 }));
    simulation.submit(createStep({}));
    await simulation.advance(200);
    simulation.queue.close();
    simulation.submit(createStep({}));
    await simulation.advance(300);
    expect(simulation.getOutcomes()).toMatchInlineSnapshot(`
      [
        "0: done at 400",
        "1: notRun deadlineBeforeStart at 100",
        "2: notRun callerGone at 50",
        "3: notRun stopping at 200",
        "4: notRun stopping at 200",
      ]
    `);
});

test("a server that no longer answers is recognised by the age of its running jobs", async () => {
    const simulation = new Simulation(2, 100);
    for (let index = 0; index < 20; index++) {
        simulation.submit(createStep({ serviceMs: 10 }));
        await simulation.advance(10);
    }
    simulation.submit(createStep({ serviceMs: 5_000 }));
    simulation.submit(createStep({ serviceMs: 5_000 }));
    await simulation.advance(300);
    simulation.submit(createStep({ deadlineMs: 200 }));
    simulation.submit(createStep({ deadlineMs: 2_000 }));
    const estimate = simulation.queue.estimateWait(0, true);
    await simulation.advance(5_000);
    expect({ estimate, last: simulation.getOutcomes().slice(-2) }).toMatchInlineSnapshot(`
      {
        "estimate": 305,
        "last": [
          "22: notRun shed at 500",
          "23: notRun deadlineBeforeStart at 2500",
        ],
      }
    `);
});

test("fifty uploads at once: a stall of the host's own event loop does not count as slowness of the server", async () => {
    const simulation = new Simulation(2, 100);
    for (let index = 0; index < 20; index++) {
        simulation.submit(createStep({ serviceMs: 20 }));
        await simulation.advance(20);
    }
    for (let index = 0; index < 2; index++) {
        simulation.submit(createStep({ serviceMs: 20 }));
        simulation.submit(createStep({ serviceMs: 20 }));
        simulation.stall(400);
        await simulation.advance(20);
    }
    simulation.submit(createStep({ serviceMs: 20, deadlineMs: 100 }));
    simulation.submit(createStep({ serviceMs: 20, deadlineMs: 100 }));
    simulation.submit(createStep({ serviceMs: 20, deadlineMs: 100 }));
    await simulation.advance(100);
    expect(simulation.getOutcomes().slice(-3)).toEqual([
        expect.stringContaining("done"),
        expect.stringContaining("done"),
        expect.stringContaining("done"),
    ]);
});

/** A queue with jobs that record when they start, run and settle. */
class Simulation {
    readonly queue: ServerQueue;
    private readonly clock = new StallingClock(START_MS);
    private readonly started = new Set<number>();
    private readonly outcomes: string[][] = [];
    private running = 0;
    private slots: number;

    constructor(slots: number, maxWaiting: number) {
        const settings = ServerQueueSettings.parse({ maxWaiting });
        this.slots = slots;
        const stalls = new StallMeter(this.clock);
        this.queue = new ServerQueue({ clock: this.clock, metrics: new Metrics(), slots, settings, stalls });
    }

    /** Stalls the process: time passes and nothing runs. */
    stall(duration: number): void {
        this.clock.stall(duration);
    }

    setSlots(slots: number): void {
        this.slots = slots;
        this.queue.setSlots(slots);
    }

    submit(step: Step): void {
        this.setSlots(step.slots ?? this.slots);
        const index = this.outcomes.length;
        const outcomes: string[] = [];
        this.outcomes.push(outcomes);
        this.queue.submit(this.createJob(index, step)).then(
            submission => outcomes.push(describe(submission, this.clock.now() - START_MS)),
            () => outcomes.push("rejected"),
        );
    }

    async advance(duration: number): Promise<void> {
        await flush();
        for (const end = this.clock.now() + duration;;) {
            const due = this.clock.nextDue();
            if (due === undefined || due > end) {
                this.clock.advanceTo(end);
                return;
            }
            this.clock.advanceTo(due);
            await flush();
        }
    }

    getOutcomes(): string[] {
        return this.outcomes.map((outcomes, index) => `${index}: ${outcomes.join(" and ") || "open"}`);
    }

    check(submitted: number): void {
        expect(this.outcomes.length).toBe(submitted);
        for (const [index, outcomes] of this.outcomes.entries()) {
            expect(outcomes.length).toBe(1);
            expect(outcomes[0]!.startsWith("done")).toBe(this.started.has(index));
        }
        expect(this.queue.waitingSize + this.queue.runningSize).toBe(0);
    }

    private createJob(index: number, step: Step): Job<number> {
        const caller = new AbortController();
        if (step.leavesAfterMs !== undefined) {
            this.clock.schedule(step.leavesAfterMs, () => caller.abort());
        }
        return {
            id: String(index),
            classId: (step.isIdempotent ? "read" : "once") as ClassId,
            priority: step.priority,
            deadlineAt: this.clock.now() + step.deadlineMs,
            isIdempotent: step.isIdempotent,
            signal: caller.signal,
            run: () => this.run(index, step.serviceMs),
        };
    }

    private async run(index: number, serviceMs: number): Promise<number> {
        expect(this.started.has(index)).toBe(false);
        this.started.add(index);
        this.running++;
        expect(this.running).toBeLessThanOrEqual(this.slots);
        await this.clock.sleep(serviceMs);
        this.running--;
        return index;
    }
}

function describe(submission: JobResult<number>, at: number): string {
    return submission.kind === "done"
        ? `done at ${at}`
        : `${submission.refusal.outcome} ${submission.refusal.reason} at ${at}`;
}

function createStep(step: Partial<Step>): Step {
    return {
        delayMs: 0,
        priority: 0,
        deadlineMs: 1_000,
        serviceMs: 10,
        isIdempotent: true,
        leavesAfterMs: undefined,
        slots: undefined,
        ...step,
    };
}

function flush(): Promise<void> {
    return new Promise(resolve => setImmediate(resolve));
}
