import type { OutcomeKind } from "./outcomeKind.js";
import type { RefusalReason } from "./refusalReason.js";

/** A request that ends without the backend server's answer. */
export type Refusal = {
    /** `notRun` guarantees that no backend server ran the request. */
    readonly outcome: Exclude<OutcomeKind, "answered">;
    readonly reason: RefusalReason;
    /** One sentence for the caller, without secrets or addresses. */
    readonly detail: string;
};
