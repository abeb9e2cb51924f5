import type { LogFields } from "@arbutusdoor/common";
import type { Kernel } from "./kernel.js";

/** A part of the daemon. Plug-ins register themselves in `plugins` and get each other's services from the kernel. */
export abstract class Plugin {
    /** Unique name. */
    abstract readonly name: string;

    /** Provides the plug-in's services to the kernel. Called in order of registration, before any plug-in starts. */
    abstract install(kernel: Kernel): void;

    /** Starts work; called in order of registration. */
    async start(): Promise<void> {}

    /** First half of a graceful stop: accepts nothing new, finishes what is in flight. All plug-ins drain concurrently. */
    async drain(): Promise<void> {}

    /** Second half of a graceful stop, in reverse order of registration, when the drain has ended or timed out. */
    async stop(): Promise<void> {}

    /** Called before the process ends: logs what its end cuts off, and returns fields for the log. */
    describeEnd(): LogFields {
        return {};
    }
}
