import type { Job, JobResult } from "@arbutusdoor/policy";

/** The baseline: first come, first served, no bound, nothing refused before its turn. */
export class PlainQueue {
    private readonly waiting: (() => void)[] = [];
    private readonly slots: number;
    private running = 0;

    constructor(slots: number) {
        this.slots = slots;
    }

    async submit<Value>(job: Job<Value>): Promise<JobResult<Value>> {
        if (this.running >= this.slots) {
            await new Promise<void>(resolve => this.waiting.push(resolve));
        }
        this.running++;
        const value = await job.run();
        this.running--;
        this.waiting.shift()?.();
        return { kind: "done", value };
    }
}
