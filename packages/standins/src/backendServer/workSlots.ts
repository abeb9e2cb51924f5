/** How a request for a slot ended. */
type SlotOutcome = "granted" | "full" | "abandoned";

/** The slots of a server and the line of requests that wait for one. */
export class WorkSlots {
    private readonly slots: number;
    private readonly waitingLimit: number;
    private readonly waiting: ((outcome: SlotOutcome) => void)[] = [];
    private busy = 0;

    constructor(slots: number, waitingLimit: number) {
        this.slots = slots;
        this.waitingLimit = waitingLimit;
    }

    /** Slots in use. */
    get busyCount(): number {
        return this.busy;
    }

    /** Requests that wait for a slot. */
    get waitingCount(): number {
        return this.waiting.length;
    }

    /** Waits for a slot until the signal ends the wait. */
    take(signal: AbortSignal): Promise<SlotOutcome> {
        if (this.busy < this.slots) {
            this.busy++;
            return Promise.resolve("granted");
        }
        if (this.waiting.length >= this.waitingLimit) {
            return Promise.resolve("full");
        }
        return new Promise(resolve => {
            this.waiting.push(resolve);
            signal.addEventListener("abort", () => this.abandon(resolve), { once: true });
        });
    }

    /** Gives a slot back, to the next that waits. */
    giveBack(): void {
        const next = this.waiting.shift();
        if (next) {
            next("granted");
        }
        else {
            this.busy--;
        }
    }

    private abandon(resolve: (outcome: SlotOutcome) => void): void {
        const index = this.waiting.indexOf(resolve);
        if (index >= 0) {
            this.waiting.splice(index, 1);
            resolve("abandoned");
        }
    }
}
