import { wallClock } from "../../wallClock.js";
const MICROSECONDS_PER_MS = 1_000;

/** Measures processor time and elapsed time of this process between two moments. */
export class ProcessorTimer {
    private readonly began = process.cpuUsage();
    private readonly beganAt = wallClock.now();

    /** Processor time in microseconds since the start, of all threads, user and system. */
    get processorUs(): number {
        const { user, system } = process.cpuUsage(this.began);
        return user + system;
    }

    /** Elapsed time in seconds since the start. */
    get elapsedSeconds(): number {
        return (wallClock.now() - this.beganAt) / MICROSECONDS_PER_MS;
    }
}
