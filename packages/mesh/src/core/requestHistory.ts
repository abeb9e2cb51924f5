import type { RequestId } from "@arbutusdoor/common";
import type { RequestRecord } from "./requestRecord.js";

type FinishedRequest = Exclude<RequestRecord, { kind: "running"; }>;

/** Request ids that run here and the last ones that have ended here, so that no copy runs again. */
export class RequestHistory {
    private readonly running = new Set<RequestId>();
    private readonly finished = new Map<RequestId, FinishedRequest>();
    private readonly limit: number;

    /** @param limit most finished ids kept; the oldest is forgotten first */
    constructor(limit: number) {
        this.limit = limit;
    }

    /** How many ids are known. */
    get size(): number {
        return this.running.size + this.finished.size;
    }

    /** How many run. */
    get runningCount(): number {
        return this.running.size;
    }

    /** What is known of an id, or `undefined`. */
    get(id: RequestId): RequestRecord | undefined {
        return this.running.has(id) ? { kind: "running" } : this.finished.get(id);
    }

    /** Notes that a request runs from now on. */
    recordStart(id: RequestId): void {
        this.running.add(id);
    }

    /** Notes how a request ended, or that its id is barred. */
    recordEnd(id: RequestId, end: FinishedRequest): void {
        this.running.delete(id);
        this.finished.set(id, end);
        if (this.finished.size > this.limit) {
            const [oldest] = this.finished.keys();
            this.finished.delete(oldest!);
        }
    }
}
