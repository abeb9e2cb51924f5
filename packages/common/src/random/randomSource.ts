import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { uniformInt } from "pure-rand/distribution/uniformInt";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import type { RandomGenerator } from "pure-rand/types/RandomGenerator";

/** Seeded random numbers; the same seed gives the same sequence. */
export class RandomSource {
    private readonly generator: RandomGenerator;

    constructor(seed: number) {
        this.generator = xoroshiro128plus(seed);
    }

    /** Returns a number from 0 inclusive to 1 exclusive. */
    nextFraction(): number {
        return uniformFloat64(this.generator);
    }

    /** Returns a whole number from 0 inclusive to `bound` exclusive. */
    nextInteger(bound: number): number {
        return uniformInt(this.generator, 0, bound - 1);
    }

    /** Returns a random element of a non-empty list. */
    pick<Element>(elements: readonly Element[]): Element {
        const element = elements[this.nextInteger(elements.length)];
        return element as Element;
    }
}
