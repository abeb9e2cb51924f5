import type { PlatformRun } from "./platformRun.js";

const GRACE_LIMIT_MS = 7_500;

/** Sends a host SIGTERM and waits for its end. Rejects when that comes late, or is a failure. */
export async function stopGracefully(run: PlatformRun, name: string): Promise<void> {
    const { program } = run.system.hosts.get(name)!;
    const signalledAt = run.clock.now();
    run.recordStop(name);
    program.signal("SIGTERM");
    await program.waitForEnd();
    const took = run.clock.now() - signalledAt;
    if (program.exitCode !== 0 || took > GRACE_LIMIT_MS) {
        throw new Error(`${name} ended with ${program.exitCode} after ${Math.round(took)} ms`);
    }
}
