import type { Clock, Milliseconds, RandomSource } from "@arbutusdoor/common";
import type { SimulatedRequest } from "../simulation/simulatedRequest.js";
import type { ClassProfile } from "./classProfile.js";
import type { KeySource } from "./keySource.js";
import type { ServiceProfile } from "./serviceProfile.js";

const MS_IN_SECOND = 1_000;
/** Spread of the logarithm of the slot time. */
const SIGMA = 0.6;

/** Poisson arrivals of a service's requests, with slot times of a log-normal distribution. */
export class Arrivals {
    private readonly clock: Clock;
    private readonly random: RandomSource;
    private readonly profile: ServiceProfile;
    private readonly keys: KeySource;
    private counter = 0;

    constructor(clock: Clock, random: RandomSource, profile: ServiceProfile, keys: KeySource) {
        this.clock = clock;
        this.random = random;
        this.profile = profile;
        this.keys = keys;
    }

    /** Hands over requests at a mean rate (per second) until the clock reads `until`. */
    start(rate: number, until: Milliseconds, take: (request: SimulatedRequest) => void): void {
        const wait = -Math.log(1 - this.random.nextFraction()) * MS_IN_SECOND / rate;
        this.clock.schedule(wait, () => {
            if (this.clock.now() < until) {
                take(this.newRequest());
                this.start(rate, until, take);
            }
        });
    }

    private newRequest(): SimulatedRequest {
        const now = this.clock.now();
        const profile = this.pickClass();
        return {
            id: this.counter++,
            profile,
            key: this.keys.next(now),
            work: profile.work * Math.exp(SIGMA * this.nextNormal() - SIGMA ** 2 / 2),
            arrivedAt: now,
            deadlineAt: now + profile.deadline,
        };
    }

    private pickClass(): ClassProfile {
        let position = this.random.nextFraction();
        for (const profile of this.profile.classes) {
            position -= profile.share;
            if (position < 0) {
                return profile;
            }
        }
        return this.profile.classes.at(-1) as ClassProfile;
    }

    private nextNormal(): number {
        const radius = Math.sqrt(-2 * Math.log(1 - this.random.nextFraction()));
        return radius * Math.cos(2 * Math.PI * this.random.nextFraction());
    }
}
