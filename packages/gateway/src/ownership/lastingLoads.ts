import type { Milliseconds } from "@arbutusdoor/common";
import type { LastingLoad } from "./lastingLoad.js";

const MS_PER_S = 1_000;

/** Load of servers over the last seconds, as an exponentially weighted mean since the start. */
export class LastingLoads {
    private readonly halfLifeMs: Milliseconds;
    private sums: ReadonlyMap<string, number> = new Map();
    private updatedAt: Milliseconds;
    /** Weight of the time since the start; approaches 1. */
    private weight = 0;

    constructor(halfLifeMs: Milliseconds, now: Milliseconds) {
        this.halfLifeMs = halfLifeMs;
        this.updatedAt = now;
    }

    /** Adds the recent loads of all servers, in requests a second, and returns their lasting loads. */
    update(recent: ReadonlyMap<string, number>, now: Milliseconds): LastingLoad {
        const kept = 0.5 ** ((now - this.updatedAt) / this.halfLifeMs);
        this.updatedAt = now;
        this.weight = 1 - kept * (1 - this.weight);
        // A server without a known load, which has just got keys, starts at 0: its load does not last yet.
        this.sums = new Map([...recent].map(([name, load]) => {
            const known = this.sums.get(name) ?? 0;
            return [name, load + kept * (known - load)];
        }));
        return {
            loads: new Map(
                [...this.sums].map(([name, sum]) => [name, sum / Math.max(this.weight, Number.EPSILON)]),
            ),
            lifeS: this.weight * this.halfLifeMs / Math.LN2 / MS_PER_S,
        };
    }
}
