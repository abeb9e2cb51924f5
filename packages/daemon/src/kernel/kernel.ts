import {
    type Clock,
    InvariantError,
    type LogFields,
    type Logger,
    type Metrics,
    type Milliseconds,
    type RandomSource,
    ShutdownSchedule,
} from "@arbutusdoor/common";
import type { Settings } from "../settings/settings.js";
import { getStopTimes } from "./getStopTimes.js";
import type { Plugin } from "./plugin.js";
import type { ServiceToken } from "./serviceToken.js";

/** Dependencies that every plug-in may use. */
type KernelOptions = {
    readonly settings: Settings;
    readonly clock: Clock;
    readonly random: RandomSource;
    readonly logger: Logger;
    readonly metrics: Metrics;
};

/** Holds the plug-ins of one daemon, starts and stops them, and shares their services between them. */
export class Kernel {
    readonly settings: Settings;
    readonly clock: Clock;
    readonly random: RandomSource;
    readonly logger: Logger;
    readonly metrics: Metrics;
    /** Begins with a graceful stop. */
    readonly shutdown: ShutdownSchedule;
    private readonly services = new Map<string, unknown>();
    private readonly plugins: readonly Plugin[];
    private stopped: Promise<LogFields> | undefined;

    constructor(options: KernelOptions, plugins: readonly Plugin[]) {
        this.settings = options.settings;
        this.clock = options.clock;
        this.random = options.random;
        this.logger = options.logger;
        this.metrics = options.metrics;
        this.shutdown = new ShutdownSchedule(options.clock);
        this.plugins = plugins;
    }

    /** Whether a graceful stop has begun. */
    get isStopping(): boolean {
        return this.stopped !== undefined;
    }

    /** Provides a service to the other plug-ins. Throws InvariantError when it is provided twice. */
    provide<Value>(service: ServiceToken<Value>, value: Value): void {
        if (this.services.has(service.name)) {
            throw new InvariantError(`service "${service.name}" is provided twice`);
        }
        this.services.set(service.name, value);
    }

    /** Returns a service of another plug-in. Throws InvariantError when no plug-in has provided it. */
    get<Value>(service: ServiceToken<Value>): Value {
        if (!this.services.has(service.name)) {
            throw new InvariantError(`service "${service.name}" is not provided`);
        }
        return this.services.get(service.name) as Value;
    }

    /** Installs and starts all plug-ins, or as many as start before a stop begins. */
    async start(): Promise<void> {
        for (const plugin of this.plugins) {
            plugin.install(this);
        }
        for (const plugin of this.plugins) {
            if (this.isStopping) {
                return;
            }
            await plugin.start();
        }
    }

    /**
     * Stops gracefully: waits for everything in flight, up to `stopLimitMs`. Never rejects. Returns what ended the stop, for the log; a
     * further call returns the same.
     */
    stop(): Promise<LogFields> {
        this.stopped ??= this.runStop();
        return this.stopped;
    }

    private async runStop(): Promise<LogFields> {
        const { clock, settings: { readyDelayMs, stopLimitMs } } = this;
        const startedAt = clock.now();
        const { finishMs, listenMs } = getStopTimes(readyDelayMs, stopLimitMs);
        this.shutdown.begin(listenMs, finishMs);
        const drained = Promise.all(this.plugins.map(plugin => this.runStep(plugin, "drain")));
        const isDrained = await this.isDoneWithin(drained, listenMs + finishMs);
        await this.isDoneWithin(this.stopPlugins(), startedAt + stopLimitMs - clock.now());
        const fields = this.plugins.map(plugin => plugin.describeEnd());
        return Object.assign({
            cause: isDrained ? "drained" : "timeLimit",
            stopMs: Math.round(clock.now() - startedAt),
        }, ...fields) as LogFields;
    }

    private async stopPlugins(): Promise<void> {
        for (const plugin of [...this.plugins].reverse()) {
            await this.runStep(plugin, "stop");
        }
    }

    /** Runs one step and logs its failure, which must not end the process under its requests. */
    private async runStep(plugin: Plugin, step: "drain" | "stop"): Promise<void> {
        try {
            await plugin[step]();
        }
        catch (error) {
            const { message } = error as Error;
            this.logger.log("stopStepFailed", { plugin: plugin.name, step, error: message });
        }
    }

    private async isDoneWithin(work: Promise<unknown>, duration: Milliseconds): Promise<boolean> {
        return await Promise.race([work.then(() => true), this.clock.sleep(duration).then(() => false)]);
    }
}
