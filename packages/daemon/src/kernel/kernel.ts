import {
    type Clock,
    InvariantError,
    type Logger,
    type Metrics,
    type RandomSource,
    ShutdownSchedule,
} from "@arbutusdoor/common";
import type { Settings } from "../settings/settings.js";
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
    private hasBegunStop = false;

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
        return this.hasBegunStop;
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

    /** Installs and starts all plug-ins. */
    async start(): Promise<void> {
        for (const plugin of this.plugins) {
            plugin.install(this);
        }
        for (const plugin of this.plugins) {
            await plugin.start();
        }
    }

    /** Stops gracefully: waits for everything in flight, up to `stopLimitMs`. */
    async stop(): Promise<void> {
        if (this.hasBegunStop) {
            return;
        }
        this.hasBegunStop = true;
        const drained = Promise.all(this.plugins.map(plugin => plugin.drain()));
        await Promise.race([drained, this.clock.sleep(this.settings.stopLimitMs)]);
        for (const plugin of [...this.plugins].reverse()) {
            await plugin.stop();
        }
    }
}
