import type { ForwardableAnswer } from "./forwardableAnswer.js";
import type { UnusableAnswer } from "./unusableAnswer.js";

/** Returns the length of an answer's body as far as it is known before the body has arrived; `undefined` for an unusable answer. */
export function getAnswerBytes(answer: ForwardableAnswer | UnusableAnswer): number | undefined {
    if (answer.kind === "broken") {
        return undefined;
    }
    return answer.kind === "whole" ? answer.body.byteLength : Number(answer.headers["content-length"] ?? 0);
}
