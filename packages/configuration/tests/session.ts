import { ManualClock, Metrics, type OperationId, RandomSource } from "@arbutusdoor/common";
import { ConfigurationManager, ConfigurationSettings } from "@arbutusdoor/configuration";
import { MemoryObjects } from "./fakes/memoryObjects.js";
import { MemoryTable } from "./fakes/memoryTable.js";
import { LogRecorder } from "./logRecorder.js";

const SHORT_DIGEST = 8;

/** One table, one object store and several hosts on a clock of their own, with a record of all that happened. */
export class Session {
    readonly clock = new ManualClock();
    readonly table = new MemoryTable();
    readonly objects = new MemoryObjects();
    readonly random: RandomSource;
    private readonly lines: string[] = [];

    constructor(seed = 1) {
        this.random = new RandomSource(seed);
    }

    /** A keeper whose log lines go into the record under the host's name. */
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

    /** Submits, waits for the outcome on the session's clock and notes it. */
    async submit(
        keeper: ConfigurationManager,
        base: number,
        json: unknown,
        operation: string,
    ): Promise<void> {
        const outcome = await this.settle(keeper.submit(base, json, operation as OperationId));
        this.record(`${operation} on base ${base}: ${JSON.stringify(outcome)}`);
    }

    /** Moves the clock from one pending action to the next until the promise is settled. */
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

    /** Moves the clock by a duration, letting what happens on the way finish. */
    async advance(duration: number): Promise<void> {
        const end = this.clock.now() + duration;
        await flush();
        for (let due = this.clock.nextDue(); due !== undefined && due <= end; due = this.clock.nextDue()) {
            this.clock.advanceTo(due);
            await flush();
        }
        this.clock.advanceTo(end);
    }

    /** The whole record, with digests shortened. */
    print(): string {
        const shorten = (digest: string) => digest.slice(0, SHORT_DIGEST);
        return this.lines.join("\n").replace(/[0-9a-f]{64}/g, shorten) + "\n";
    }
}

function flush(): Promise<void> {
    return new Promise(resolve => setImmediate(resolve));
}
