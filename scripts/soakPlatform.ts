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
    /** What did not come back or stopped badly; `undefined` when nothing. */
    readonly error: string | undefined;
};

/** Plays the faults of a seed against the platform's program under load, and judges the whole. */
export async function soakPlatform(seed: number, durationMs: number): Promise<SoakResult> {
    const run = new PlatformRun();
    let steps = 0;
    let error: string | undefined;
    try {
        await run.start();
        const plan = planSoak(seed, durationMs, platformFaults.list(run));
        const stopLoad = run.startLoad({ seed });
        const outcomes = await Promise.allSettled(plan.map(async ({ at, fault, lengthMs, target }) => {
            await run.clock.sleep(at);
            await platformFaults.play(run, fault, target, lengthMs);
        }));
        steps = plan.length;
        const failed = outcomes.flatMap(({ status, ...rest }) =>
            status === "rejected" ? [describe(rest)] : []
        );
        await run.waitUntilServed().catch((reason: unknown) => failed.push(String(reason)));
        await stopLoad();
        error = failed.length > 0 ? failed.join("\n") : undefined;
        const { counts, findings, isClean } = await run.judge();
        return { seed, isClean: isClean && error === undefined, steps, findings, counts, error };
    }
    finally {
        await run.stop();
    }
}

function describe(rest: object): string {
    return String((rest as { reason?: unknown; }).reason);
}
