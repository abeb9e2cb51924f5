import type { HostIncarnation, RequestId } from "@arbutusdoor/common";

const COUNTER_RADIX = 36;

/** Generates request ids that are unique across all incarnations of all entry hosts. */
export class RequestIds {
    private readonly incarnation: HostIncarnation;
    private counter = 0;

    constructor(incarnation: HostIncarnation) {
        this.incarnation = incarnation;
    }

    /** Returns the next id. */
    next(): RequestId {
        this.counter++;
        return `${this.incarnation}.${this.counter.toString(COUNTER_RADIX)}` as RequestId;
    }
}
