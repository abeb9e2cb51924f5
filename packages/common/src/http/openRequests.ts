import type { RequestId } from "../ids/requestId.js";
import type { LogFields } from "../logging/logFields.js";
import type { Clock } from "../time/clock.js";
import type { Milliseconds } from "../time/milliseconds.js";

/** How far a request has got: its body arrives, it waits behind others of its connection, it was routed, or its answer is being written. */
type RequestStage = "arriving" | "waiting" | "routed" | "answering";

/** A request whose head was read and whose reply is not complete. */
type OpenRequest = {
    readonly id: RequestId | undefined;
    readonly arrivedAt: Milliseconds;
    stage: RequestStage;
};

/** The requests of a caller port that have no complete reply. */
export class OpenRequests {
    private readonly clock: Clock;
    private readonly requests = new Set<OpenRequest>();

    constructor(clock: Clock) {
        this.clock = clock;
    }

    /** Number of requests. */
    get size(): number {
        return this.requests.size;
    }

    /** Adds a request that was read just now. */
    add(id: RequestId | undefined): OpenRequest {
        const request: OpenRequest = { id, arrivedAt: this.clock.now(), stage: "waiting" };
        this.requests.add(request);
        return request;
    }

    /** Removes a request that has its reply, or whose connection has closed. */
    remove(request: OpenRequest): void {
        this.requests.delete(request);
    }

    /** Number of requests at each stage, for the log. */
    countStages(): LogFields {
        const counts = { arriving: 0, waiting: 0, routed: 0, answering: 0 };
        this.requests.forEach(({ stage }) => counts[stage]++);
        return counts;
    }

    /** Describes up to `limit` requests for the log, the oldest first. */
    describe(limit: number): readonly LogFields[] {
        const now = this.clock.now();
        return [...this.requests].slice(0, limit).map(({ arrivedAt, id, stage }) => ({
            request: id,
            stage,
            ageMs: Math.round(now - arrivedAt),
        }));
    }
}
