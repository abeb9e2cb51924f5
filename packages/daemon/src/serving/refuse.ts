import { newRefusal, type RefusalReason } from "@arbutusdoor/common";
import type { Answer } from "./answer.js";

/** An answer that refuses. */
export function refuse(reason: RefusalReason, detail: string): Answer {
    return { kind: "refusal", refusal: newRefusal(reason, detail) };
}
