import { ManualClock, Metrics, type OperationId, RandomSource } from "@arbutusdoor/common";
import { ConfigurationManager, ConfigurationSettings } from "@arbutusdoor/configuration";
import { MemoryObjects } from "./fakes/memoryObjects.js";
import { MemoryTable } from "./fakes/memoryTable.js";
import { LogRecorder } from "./logRecorder.js";

const SHORT_DIGEST = 8;

/** A table, an object store and several hosts on a manual clock, with a record of all events. */
export class ConfigurationSimulation {
    readonly clock = new ManualClock();
    readonly table = new MemoryTable();
    readonly objects = new MemoryObjects();
    readonly random: RandomSource;
    private readonly lines: string[] = [];

    constructor(seed = 1) {
        this.random = new RandomSource(seed);
    }

    /** Creates a manager whose log lines go into the record under the host's name. */
    createManager(host: string, settings: Partial<ConfigurationSettings> = {}): ConfigurationManager {
        const { clock, table, objects, random } = this;
        return new ConfigurationManager({
            clock,
            table,
            objects,
            random,
            logger: new LogRecorder(clock, line => this.record(`${host}: ${line}`)),
            metrics: new Metrics(),
            settings: ConfigurationSettings.parse(settings),
        });
    }

    /** Adds a line to the record. */
    record(line: string): void {
        this.lines.push(`${String(this.clock.now()).padStart(6)} ${line}`);
    }

    /** Submits a declaration, waits for the outcome on the simulation's clock and records it. */
    async submit(
        manager: ConfigurationManager,
        base: number,
        json: unknown,
        operation: string,
    ): Promise<void> {
        const outcome = await this.settle(manager.submit(base, json, operation as OperationId));
        this.record(`${operation} on base ${base}: ${JSON.stringify(outcome)}`);
    }

    /** Advances the clock from one pending action to the next until the promise is settled. */
    async settle<Value>(promise: Promise<Value>): Promise<Value> {
        let isSettled = false;
        const settled = promise.finally(() => {
            isSettled = true;
        });
        await flush();
        while (!isSettled) {
            this.clock.advanceTo(this.clock.nextDue() ?? this.clock.now());
            await flush();
        }
        return settled;
    }

    /** Advances the clock by a duration and lets the actions that become due finish. */
    async advance(duration: number): Promise<void> {
        const end = this.clock.now() + duration;
        await flush();
        for (let due = this.clock.nextDue(); due !== undefined && due <= end; due = this.clock.nextDue()) {
            this.clock.advanceTo(due);
            await flush();
        }
        this.clock.advanceTo(end);
    }

    /** Returns the whole record, with shortened digests. */
    print(): string {
        const shorten = (digest: string) => digest.slice(0, SHORT_DIGEST);
        return this.lines.join("\n").replace(/[0-9a-f]{64}/g, shorten) + "\n";
    }
}

function flush(): Promise<void> {
    return new Promise(resolve => setImmediate(resolve));
}
