import { createRefusal, type RefusalReason } from "@arbutusdoor/common";
import type { Answer } from "./answer.js";

/** An answer that refuses. */
export function refuse(reason: RefusalReason, detail: string): Answer {
    return { kind: "refusal", refusal: createRefusal(reason, detail) };
}
