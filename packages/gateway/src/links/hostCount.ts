import type { Clock, Milliseconds } from "@arbutusdoor/common";

/** A lower count is believed after this time: a new coordinator counts from one, and hosts that are cut off go on serving. */
const HOLD_MS = 60_000;

/** How many hosts there are: the most that a coordinator has counted of late. */
export class HostCount {
    private readonly clock: Clock;
    /** Counts in falling order, each with the time at which it was last told. */
    private readonly told: { readonly hosts: number; readonly at: Milliseconds; }[] = [];

    constructor(clock: Clock) {
        this.clock = clock;
    }

    /** Takes in a coordinator's count. */
    record(hosts: number): void {
        while (this.told.length > 0 && this.told.at(-1)!.hosts <= hosts) {
            this.told.pop();
        }
        this.told.push({ hosts, at: this.clock.now() });
    }

    /** `undefined` before any coordinator has said. */
    get recentMax(): number | undefined {
        while (this.told.length > 1 && this.told[0]!.at < this.clock.now() - HOLD_MS) {
            this.told.shift();
        }
        return this.told[0]?.hosts;
    }
}
