import type { HeaderFields, Milliseconds, RequestId } from "@arbutusdoor/common";

/** Properties of a request that its caller states in header fields. */
type CallerOptions = {
    readonly id: RequestId | undefined;
    /** How long the caller waits for an answer; `undefined` when it does not state this. */
    readonly timeoutMs: Milliseconds | undefined;
    /** Key of a request for a keyed service. */
    readonly key: number | undefined;
};

/** Reads and writes the header fields that callers and this system exchange. */
export abstract class CallerHeaderCodec {
    /** Reads the header fields of a request. */
    abstract readRequestHeaders(headers: HeaderFields): CallerOptions;

    /** Returns the header fields of a refusal that tell the caller when it may send its request again. */
    abstract createRetryHeaders(delay: Milliseconds): Record<string, string>;
}
