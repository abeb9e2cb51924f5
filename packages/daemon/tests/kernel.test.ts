import {
    type LogEvent,
    type LogFields,
    Logger,
    ManualClock,
    Metrics,
    type Milliseconds,
    RandomSource,
} from "@arbutusdoor/common";
import { setImmediate } from "node:timers/promises";
import { beforeEach, expect, test } from "vitest";
import { Kernel } from "../src/kernel/kernel.js";
import { Plugin } from "../src/kernel/plugin.js";
import type { Settings } from "../src/settings/settings.js";

const READY_DELAY_MS = 500;
const STOP_LIMIT_MS = 12_000;
const STEP_MS = 20;

type Step = "start" | "drain" | "stop";

/** A plug-in that records its steps and runs them by a script. */
class ScriptedPlugin extends Plugin {
    override readonly name: string;
    private readonly script: Partial<Record<Step, () => Promise<void>>>;

    constructor(name: string, script: ScriptedPlugin["script"] = {}) {
        super();
        this.name = name;
        this.script = script;
    }

    override install(): void {}

    override start(): Promise<void> {
        return this.run("start");
    }

    override drain(): Promise<void> {
        return this.run("drain");
    }

    override stop(): Promise<void> {
        return this.run("stop");
    }

    override describeEnd(): LogFields {
        return { [this.name]: "ended" };
    }

    private async run(step: Step): Promise<void> {
        await this.script[step]?.();
        steps.push(`${this.name} ${step}`);
    }
}

let clock: ManualClock;
let steps: string[];
let events: [LogEvent, LogFields][];

beforeEach(() => {
    clock = new ManualClock();
    steps = [];
    events = [];
});

// Guards against a step of the shutdown that rejects, and with it ends the process under its requests.
test.each<[string, Step, string[]]>([
    ["drain", "drain", ["second drain", "second stop", "first stop"]],
    ["stop", "stop", ["second drain", "first drain", "second stop"]],
])("a plug-in whose %s fails is logged, and the shutdown goes on", async (_, step, expected) => {
    const kernel = createKernel([
        new ScriptedPlugin("first", { [step]: () => Promise.reject(new Error("no store")) }),
        new ScriptedPlugin("second", { drain: () => clock.sleep(READY_DELAY_MS) }),
    ]);
    const outcome = await stopWithin(kernel, READY_DELAY_MS);
    expect(outcome).toEqual({
        cause: "drained",
        stopMs: READY_DELAY_MS,
        first: "ended",
        second: "ended",
    });
    expect([...steps].sort()).toEqual([...expected].sort());
    expect(events).toEqual([["stopStepFailed", { plugin: "first", step, error: "no store" }]]);
});

// Guards against a second signal that ends the process under its requests, since its stop has nothing to wait for.
test("a stop that is requested again ends with the first one", async () => {
    const kernel = createKernel([
        new ScriptedPlugin("first", { drain: () => clock.sleep(READY_DELAY_MS) }),
    ]);
    void kernel.stop();
    let hasStopped = false;
    const again = kernel.stop().then(() => {
        hasStopped = true;
    });
    await setImmediate();
    expect(hasStopped).toBe(false);
    clock.advance(READY_DELAY_MS);
    await again;
    expect(steps).toEqual(["first drain", "first stop"]);
});

// Guards against a process that outlives its limit, as a connection or a store keeps one of its parts from ending.
test.each<Step>(["drain", "stop"])(
    "a %s that never ends does not hold up the end of the process",
    async step => {
        const kernel = createKernel([
            new ScriptedPlugin("first"),
            new ScriptedPlugin("second", { [step]: () => new Promise(() => undefined) }),
        ]);
        const outcome = await stopWithin(kernel, STOP_LIMIT_MS);
        expect(outcome).toMatchObject({ cause: step === "drain" ? "timeLimit" : "drained" });
        expect(outcome!["stopMs"]).toBeLessThanOrEqual(STOP_LIMIT_MS);
    },
);

// Guards against ports that open when those of the other plug-ins have already closed.
test("a stop during the start opens nothing more", async () => {
    const kernel = createKernel([
        new ScriptedPlugin("first", { start: () => clock.sleep(READY_DELAY_MS) }),
        new ScriptedPlugin("second"),
    ]);
    const started = kernel.start();
    await stopWithin(kernel, READY_DELAY_MS);
    clock.advance(READY_DELAY_MS);
    await started;
    expect(steps).not.toContain("second start");
});

function createKernel(plugins: readonly Plugin[]): Kernel {
    const logger = new Logger(clock, "test", "silent");
    logger.onEvent((event, fields) => events.push([event, fields]));
    const settings = { readyDelayMs: READY_DELAY_MS, stopLimitMs: STOP_LIMIT_MS } as Settings;
    return new Kernel(
        { settings, clock, random: new RandomSource(1), logger, metrics: new Metrics() },
        plugins,
    );
}

/** Stops a kernel; returns its outcome if the stop ended within the time. */
async function stopWithin(kernel: Kernel, duration: Milliseconds): Promise<LogFields | undefined> {
    let outcome: LogFields | undefined;
    void kernel.stop().then(fields => {
        outcome = fields;
    });
    for (let passed = 0; passed < duration && !outcome; passed += STEP_MS) {
        await setImmediate();
        clock.advance(STEP_MS);
    }
    await setImmediate();
    return outcome;
}
