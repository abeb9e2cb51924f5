import type { Kernel } from "./kernel.js";

/** A part of the daemon. Plug-ins register themselves in `plugins` and find each other's services in the kernel. */
export abstract class Plugin {
    /** Unique name. */
    abstract readonly name: string;

    /** Puts the plug-in's services into the kernel. Runs for every plug-in, in order of registration, before any starts. */
    abstract install(kernel: Kernel): void;

    /** Begins work; the order is that of registration. */
    async start(): Promise<void> {}

    /** First half of a graceful stop: takes nothing new, finishes what is in flight. All plug-ins drain at the same time. */
    async drain(): Promise<void> {}

    /** Second half of a graceful stop, in reverse order of registration: nothing is in flight any more. */
    async stop(): Promise<void> {}
}
