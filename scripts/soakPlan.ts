import { RandomSource } from "@arbutusdoor/common";

/** A fault of the plan: what happens, to whom, when and for how long, in ms from the start of the faults. */
type SoakStep = {
    readonly fault: string;
    readonly target: string;
    readonly at: number;
    readonly lengthMs: number;
};

/** Faults that may come to a kind of target, with the longest time of each in ms. */
type FaultLengths = Readonly<Record<string, number>>;

/** Pause between two faults of one target. */
const REST_MS = 2_000;
/** Faults that overlap, on different targets. */
const LANES = 3;

/**
 * Draws a series of faults; the same seed gives the same plan. Faults of different targets overlap, those of one target follow each other.
 *
 * @param faults by target: faults that may come to it, with the longest time of each
 */
export function planSoak(
    seed: number,
    durationMs: number,
    faults: Readonly<Record<string, FaultLengths>>,
): readonly SoakStep[] {
    const random = new RandomSource(seed);
    const freeAt = new Map(Object.keys(faults).map(target => [target, 0]));
    const steps: SoakStep[] = [];
    for (let lane = 0; lane < LANES; lane++) {
        for (let at = random.nextInteger(REST_MS); at < durationMs;) {
            const free = [...freeAt].filter(([, time]) => time <= at).map(([target]) => target);
            if (free.length === 0) {
                at += REST_MS;
                continue;
            }
            const target = random.pick(free);
            const [fault, longest] = random.pick(Object.entries(faults[target]!));
            const lengthMs = 1 + random.nextInteger(longest);
            steps.push({ fault, target, at, lengthMs });
            freeAt.set(target, at + lengthMs + REST_MS);
            at += lengthMs + random.nextInteger(REST_MS);
        }
    }
    return steps.sort((one, other) => one.at - other.at);
}
