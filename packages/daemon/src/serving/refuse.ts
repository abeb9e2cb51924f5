import { createRefusal, type RefusalReason } from "@arbutusdoor/common";
import type { Answer } from "./answer.js";

/** Creates an answer that refuses the request. */
export function refuse(reason: RefusalReason, detail: string): Answer {
    return { kind: "refusal", refusal: createRefusal(reason, detail) };
}
