import type { Call } from "./call.js";
import type { CallerEntry } from "./callerEntry.js";

/** Header fields of an answer. */
type AnswerHeaders = Readonly<Record<string, string | string[] | undefined>>;

/** How callers and the system under test speak to each other. */
export abstract class CallerProtocol {
    /** Header fields of an attempt, beside those of the call itself. */
    abstract newHeaders(call: Call, attempt: number, timeoutMs: number): Readonly<Record<string, string>>;

    /** What an answer's head says of the attempt. */
    abstract readHead(
        call: Call,
        attempt: number,
        status: number,
        headers: AnswerHeaders,
    ): Pick<CallerEntry, "outcome" | "reason" | "requestId">;
}
