import type { Finding } from "@arbutusdoor/standins";
import { platformFaults } from "./platformFaults.js";
import { PlatformRun } from "./platformRun.js";
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

/** Plays the faults of a seed against the platform's program under load, and judges the whole. */
export async function soakPlatform(
    seed: number,
    durationMs: number,
    hasNotices = false,
): Promise<SoakResult> {
    const run = new PlatformRun();
    const errors: string[] = [];
    let steps = 0;
    try {
        await run.start();
        const plan = planSoak(seed, durationMs, platformFaults.list(run, hasNotices));
        steps = plan.length;
        const stopLoad = run.startLoad({ seed });
        const outcomes = await Promise.allSettled(plan.map(async ({ at, fault, lengthMs, target }) => {
            await run.clock.sleep(at);
            await platformFaults.play(run, fault, target, lengthMs);
        }));
        errors.push(
            ...outcomes.flatMap(outcome => outcome.status === "rejected" ? [String(outcome.reason)] : []),
        );
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
