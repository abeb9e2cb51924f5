import type { HostIncarnation, RequestId } from "@arbutusdoor/common";

const COUNTER_RADIX = 36;

/** Gives each request an id that no other request of any run of any entry host has. */
export class RequestIds {
    private readonly incarnation: HostIncarnation;
    private counter = 0;

    constructor(incarnation: HostIncarnation) {
        this.incarnation = incarnation;
    }

    /** The next id. */
    next(): RequestId {
        this.counter++;
        return `${this.incarnation}.${this.counter.toString(COUNTER_RADIX)}` as RequestId;
    }
}
