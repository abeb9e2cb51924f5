import type { ManualClock, RandomSource } from "@arbutusdoor/common";
import type { MessageFaults } from "./messageFaults.js";

const NO_FAULTS: MessageFaults = { loss: 0, duplicate: 0, late: 0, longestDelay: 0 };

/** Simulated network: carries messages between named nodes with delay, partitions and faults. */
export class Network {
    faults = NO_FAULTS;
    private readonly cuts = new Map<string, readonly [ReadonlySet<string>, ReadonlySet<string>]>();

    constructor(private readonly clock: ManualClock, private readonly random: RandomSource) {}

    cut(name: string, left: readonly string[], right: readonly string[]): void {
        this.cuts.set(name, [new Set(left), new Set(right)]);
    }

    heal(name: string): void {
        this.cuts.delete(name);
    }

    clearFaults(): void {
        this.faults = NO_FAULTS;
    }

    isCut(from: string, to: string): boolean {
        const separates = ([left, right]: readonly [ReadonlySet<string>, ReadonlySet<string>]) =>
            (left.has(from) && right.has(to)) || (left.has(to) && right.has(from));
        return [...this.cuts.values()].some(separates);
    }

    /** Delivers a message later, unless it is lost. A message in flight when a partition begins is lost. */
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
