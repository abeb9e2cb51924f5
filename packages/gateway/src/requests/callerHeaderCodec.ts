import type { HeaderFields, Milliseconds, RequestId } from "@arbutusdoor/common";

/** What a caller says of its request beside method, path and body. */
type CallerTerms = {
    readonly id: RequestId | undefined;
    /** How long the caller waits; `undefined` when it does not say so. */
    readonly timeoutMs: Milliseconds | undefined;
    /** Key of the request, for a keyed service. */
    readonly key: number | undefined;
};

/** Header fields that callers and this system exchange. */
export abstract class CallerHeaderCodec {
    /** Reads the fields of a request. */
    abstract readRequestHeaders(headers: HeaderFields): CallerTerms;

    /** Fields of a refusal that tell the caller when to come back. */
    abstract createRetryHeaders(delay: Milliseconds): Record<string, string>;
}
