import type { Finding } from "@arbutusdoor/standins";
import { platformFaults } from "./platformFaults.js";
import { PlatformRun } from "./platformRun.js";
import type { SoakKinds } from "./soakKinds.js";
import { planSoak } from "./soakPlan.js";

/** What a soak of one seed found. */
type SoakResult = {
    readonly seed: number;
    readonly isClean: boolean;
    readonly steps: number;
    readonly findings: readonly Finding[];
    readonly counts: object;
    /** What did not start, did not come back or stopped badly. */
    readonly errors: readonly string[];
};

/**
 * Plays the faults of a seed against the platform's program under load, and judges the whole.
 *
 * @param hostProgram the program of the hosts; that of this build when left out
 */
export async function soakPlatform(
    seed: number,
    durationMs: number,
    kinds: SoakKinds = {},
    hostProgram?: string,
): Promise<SoakResult> {
    const run = new PlatformRun(kinds, { seed, hostProgram });
    const errors: string[] = [];
    let steps = 0;
    try {
        await run.start();
        const plan = planSoak(seed, durationMs, platformFaults.list(run, kinds));
        steps = plan.length;
        const stopLoad = run.startLoad({ seed });
        /** The last fault of each target: one may take longer than planned, for example until a server has drained. */
        const last = new Map<string, Promise<void>>();
        const outcomes = await Promise.allSettled(plan.map(({ at, fault, lengthMs, target }) => {
            const before = last.get(target) ?? Promise.resolve();
            const played = (async () => {
                await run.clock.sleep(at);
                await before.catch(() => undefined);
                await platformFaults.play(run, fault, target, lengthMs);
            })();
            last.set(target, played);
            return played;
        }));
        errors.push(
            ...outcomes.flatMap(outcome => outcome.status === "rejected" ? [String(outcome.reason)] : []),
        );
        errors.push(...run.listEnded());
        await run.waitUntilServed().catch((reason: unknown) => errors.push(String(reason)));
        await stopLoad();
    }
    catch (error) {
        errors.push(String(error));
    }
    try {
        const { counts, findings, isClean } = await run.judge();
        return { seed, isClean: isClean && errors.length === 0, steps, findings, counts, errors };
    }
    finally {
        await run.stop();
    }
}
