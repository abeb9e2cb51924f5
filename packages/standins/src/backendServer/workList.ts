import type { Clock } from "@arbutusdoor/common";
import type { Journal } from "../common/journal.js";
import type { ServerEntry } from "./serverEntry.js";
import type { Work } from "./work.js";

/** What a work's end adds to its record. */
type WorkEnd = {
    readonly result: "completed" | "cancelled";
    readonly bodyBytes: number;
    readonly bodySha256: string;
};

/** The requests that run, at most as many as the server has slots. */
export class WorkList {
    private readonly clock: Clock;
    private readonly journal: Journal<ServerEntry>;
    private readonly running = new Set<Work>();
    private readonly onEnd: () => void;

    /** @param onEnd called after each end of work */
    constructor(clock: Clock, journal: Journal<ServerEntry>, onEnd: () => void) {
        this.clock = clock;
        this.journal = journal;
        this.onEnd = onEnd;
    }

    /** Number of requests that run. */
    get size(): number {
        return this.running.size;
    }

    /** Adds work that begins now. */
    begin(work: Omit<Work, "started" | "cancellation">): Work {
        const begun = { ...work, started: this.clock.wallTime(), cancellation: new AbortController() };
        this.running.add(begun);
        return begun;
    }

    /** Removes work and records it, as ended at a wall-clock time. */
    end(work: Work, end: WorkEnd, endedAt = this.clock.wallTime()): void {
        if (this.running.delete(work)) {
            this.journal.add(this.getEntry(work, endedAt, end));
            this.onEnd();
        }
    }

    /** Whether work of a slice below a generation runs. */
    isRunning(slice: string, belowGeneration: number): boolean {
        return [...this.running].some(work =>
            work.slice === slice && (work.generation ?? 0) < belowGeneration
        );
    }

    /** Ends the work of a slice at a generation early. */
    cancel(slice: string, generation: number): void {
        for (const work of this.running) {
            if (work.slice === slice && work.generation === generation) {
                work.cancellation.abort();
            }
        }
    }

    /** Records of the work that runs. */
    list(): readonly ServerEntry[] {
        const open = { result: "running", bodyBytes: 0, bodySha256: "" } as const;
        return [...this.running].map(work => this.getEntry(work, undefined, open));
    }

    private getEntry(
        work: Work,
        ended: number | undefined,
        end: Omit<WorkEnd, "result"> & { readonly result: "running" | WorkEnd["result"]; },
    ): ServerEntry {
        const { requestId, idempotencyKey, slice, generation, method, path, started } = work;
        const request = { requestId, idempotencyKey, slice, generation, method, path };
        return { kind: "run", ...request, started, ended, ...end };
    }
}
