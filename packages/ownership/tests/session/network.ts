import type { ManualClock, RandomSource } from "@arbutusdoor/common";
import type { MessageFaults } from "./messageFaults.js";

const QUIET: MessageFaults = { loss: 0, duplicate: 0, late: 0, longestDelay: 0 };

/** Carries messages between named nodes with delay; cuts and disturbances are switched by the session. */
export class Network {
    faults = QUIET;
    private readonly cuts = new Map<string, readonly [ReadonlySet<string>, ReadonlySet<string>]>();

    constructor(private readonly clock: ManualClock, private readonly random: RandomSource) {}

    cut(name: string, left: readonly string[], right: readonly string[]): void {
        this.cuts.set(name, [new Set(left), new Set(right)]);
    }

    heal(name: string): void {
        this.cuts.delete(name);
    }

    clearFaults(): void {
        this.faults = QUIET;
    }

    isCut(from: string, to: string): boolean {
        const separates = ([left, right]: readonly [ReadonlySet<string>, ReadonlySet<string>]) =>
            (left.has(from) && right.has(to)) || (left.has(to) && right.has(from));
        return [...this.cuts.values()].some(separates);
    }

    /** Delivers later, unless the message is lost. A message under way when a cut begins is lost. */
    send(from: string, to: string, deliver: () => void): void {
        const { loss, duplicate, late, longestDelay } = this.faults;
        const copies = this.random.nextFraction() < duplicate ? 2 : 1;
        for (let copy = 0; copy < copies; copy++) {
            const isLate = this.random.nextFraction() < late;
            const extra = isLate ? this.random.nextFraction() * longestDelay : 0;
            const isLost = this.random.nextFraction() < loss;
            this.clock.schedule(0.5 + this.random.nextFraction() + extra, () => {
                if (!isLost && !this.isCut(from, to)) {
                    deliver();
                }
            });
        }
    }
}
