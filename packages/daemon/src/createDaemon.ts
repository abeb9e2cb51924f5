import { type Clock, Logger, Metrics, RandomSource } from "@arbutusdoor/common";
import { createPlugins } from "./kernel/createPlugins.js";
import { Kernel } from "./kernel/kernel.js";
import type { Settings } from "./settings/settings.js";

/** Creates a daemon that is not started yet. */
export function createDaemon(settings: Settings, clock: Clock): Kernel {
    const seed = settings.seed ?? Math.floor(clock.wallTime()) | 0;
    const random = new RandomSource(seed);
    const logger = new Logger(clock, settings.host, settings.logLevel);
    return new Kernel({ settings, clock, random, logger, metrics: new Metrics() }, createPlugins());
}
