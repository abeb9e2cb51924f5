import type { Milliseconds, RandomSource } from "@arbutusdoor/common";
import type { ServiceProfile } from "./serviceProfile.js";

/** Keys by a Zipf distribution, with one hot key on top that is another one after each interval. */
export class KeySource {
    private readonly profile: ServiceProfile;
    private readonly random: RandomSource;
    private readonly hotInterval: Milliseconds;
    private readonly cumulative: number[] = [];

    constructor(profile: ServiceProfile, random: RandomSource, hotInterval: Milliseconds) {
        this.profile = profile;
        this.random = random;
        this.hotInterval = hotInterval;
        let total = 0;
        for (let rank = 1; rank <= profile.keys; rank++) {
            total += rank ** -profile.skew;
            this.cumulative.push(total);
        }
    }

    next(now: Milliseconds): string {
        if (this.random.nextFraction() < this.profile.hotShare) {
            const turn = Math.floor(now / this.hotInterval);
            return `key-${(turn * 7919 + 13) % this.profile.keys}`;
        }
        return `key-${this.getRank(this.random.nextFraction() * (this.cumulative.at(-1) ?? 0))}`;
    }

    private getRank(position: number): number {
        let low = 0;
        let high = this.cumulative.length - 1;
        while (low < high) {
            const middle = (low + high) >> 1;
            if (this.cumulative[middle]! < position) {
                low = middle + 1;
            }
            else {
                high = middle;
            }
        }
        return low;
    }
}
