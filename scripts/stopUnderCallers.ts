import type { PlatformRun } from "./platformRun.js";
import { stopGracefully } from "./stopGracefully.js";

/** Callers open connections so long before SIGTERM. */
const AHEAD_MS = 2_500;
/** Further troubles of a stop begin within this span of time. */
const TROUBLE_SPAN_MS = 4_000;
const MAX_TROUBLES = 3;
/** Up to that long, calls to the store are late; a resignation then ends near or after the time limit of the stop. */
const STORE_DELAY_MS = 3_500;
/** A further SIGTERM comes after the one that stops the host. */
const SECOND_SIGNAL_MS = 10;

type Trouble = (run: PlatformRun, name: string, delayMs: number) => Promise<void> | void;

/** What may come to a host about its stop, with the time in ms from SIGTERM at which it comes at the earliest. */
const TROUBLES: readonly (readonly [earliestMs: number, trouble: Trouble])[] = [
    [-AHEAD_MS, (run, name) => run.system.hosts.get(name)!.program.signal("SIGHUP")],
    [SECOND_SIGNAL_MS, (run, name) => run.system.hosts.get(name)!.program.signal("SIGTERM")],
    [-AHEAD_MS, run => run.system.configure()],
    [-AHEAD_MS, (run, name, delayMs) => run.system.hosts.get(name)!.store.setMode("delay", delayMs)],
];

/** Stops a host while callers of many habits use it, with signals, changes and a slow store about the stop, and starts it again. */
export async function stopUnderCallers(run: PlatformRun, name: string, lengthMs: number): Promise<void> {
    const random = run.newRandom(name, lengthMs);
    const { program, store } = run.system.hosts.get(name)!;
    const callers = run.sendThroughStop(name, random, AHEAD_MS);
    const troubles = Array.from({ length: random.nextInteger(MAX_TROUBLES + 1) }, async () => {
        const [earliestMs, trouble] = random.pick(TROUBLES);
        const delayMs = 1 + random.nextInteger(STORE_DELAY_MS);
        await run.clock.sleep(AHEAD_MS + earliestMs + random.nextInteger(TROUBLE_SPAN_MS));
        if (!program.hasEnded) {
            await trouble(run, name, delayMs);
        }
    });
    const stopped = run.clock.sleep(AHEAD_MS).then(() => stopGracefully(run, name));
    try {
        await Promise.all([stopped, callers, ...troubles]);
    }
    finally {
        store.setMode("pass");
    }
    await run.clock.sleep(lengthMs);
    await run.system.restartHost(name);
}
