import type { RequestId } from "@arbutusdoor/common";
import type { RequestRecord } from "./requestRecord.js";

type FinishedRequest = Exclude<RequestRecord, { kind: "running"; }>;

/** Request ids that run here and those that ended here recently, so that no copy of a request runs again. */
export class RequestHistory {
    private readonly running = new Set<RequestId>();
    private readonly finished = new Map<RequestId, FinishedRequest>();
    private readonly limit: number;

    /** @param limit most finished ids kept; the oldest is dropped first */
    constructor(limit: number) {
        this.limit = limit;
    }

    /** Number of recorded ids. */
    get size(): number {
        return this.running.size + this.finished.size;
    }

    /** Number of running requests. */
    get runningCount(): number {
        return this.running.size;
    }

    /** Returns what is recorded about an id, or `undefined`. */
    get(id: RequestId): RequestRecord | undefined {
        return this.running.has(id) ? { kind: "running" } : this.finished.get(id);
    }

    /** Records that a request has started. */
    recordStart(id: RequestId): void {
        this.running.add(id);
    }

    /** Records how a request ended, or that its id is barred. */
    recordEnd(id: RequestId, end: FinishedRequest): void {
        this.running.delete(id);
        this.finished.set(id, end);
        if (this.finished.size > this.limit) {
            const [oldest] = this.finished.keys();
            this.finished.delete(oldest!);
        }
    }
}
