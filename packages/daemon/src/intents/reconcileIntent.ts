import type { Row } from "@arbutusdoor/clients";
import { createRefusal, type Milliseconds, type Refusal, type RefusalReason } from "@arbutusdoor/common";
import type { Fingerprint } from "./fingerprint.js";
import type { IntentRequest } from "./intentRequest.js";
import { IntentRow } from "./intentRow.js";
import type { RecordedAnswer } from "./recordedAnswer.js";

/**
 * What the stored intent means for a request: `take` (nothing has run; the request may write the row over that version),
 * `own` (the row was written by this same request), `recorded` (the work ran; this is its answer) or a refusal.
 */
type IntentDecision =
    | { readonly kind: "take"; readonly version: number; }
    | { readonly kind: "own"; readonly version: number; }
    | { readonly kind: "recorded"; readonly answer: RecordedAnswer; }
    | { readonly kind: "refusal"; readonly refusal: Refusal; };

/**
 * Compares a request with the stored row of its intent. Never lets work run that may have run before: a request may take
 * only an absent row, or one whose request certainly did not run.
 * @param now wall-clock time
 * @param marginMs time after its deadline for which a begun intent still counts as in progress
 */
export function reconcileIntent(
    row: Row,
    request: IntentRequest,
    now: Milliseconds,
    marginMs: Milliseconds,
): IntentDecision {
    if (row.version === 0) {
        return { kind: "take", version: 0 };
    }
    const parsed = IntentRow.safeParse(row.value);
    if (!parsed.success) {
        return refuse("repeatOutcomeUnknown", "the record of an earlier request cannot be read");
    }
    const stored = parsed.data;
    if (stored.state === "free") {
        return { kind: "take", version: row.version };
    }
    if (stored.state === "begun" && stored.requestId === request.requestId) {
        return { kind: "own", version: row.version };
    }
    if (!isSameRequest(stored, request.fingerprint)) {
        return refuse("repeatMismatch", "another request was sent under this idempotency key");
    }
    return evaluateRepeat(stored, now, marginMs);
}

function evaluateRepeat(stored: IntentRow, now: Milliseconds, marginMs: Milliseconds): IntentDecision {
    if (stored.state === "answered") {
        return evaluateAnswer(stored.answer);
    }
    const isInProgress = stored.state === "begun" && now <= stored.deadlineAt + marginMs;
    return isInProgress
        ? refuse("repeatInProgress", "an earlier request under this idempotency key has not ended")
        : refuse(
            "repeatOutcomeUnknown",
            "an earlier request under this idempotency key may have run; it is not run again",
        );
}

function evaluateAnswer(answer: RecordedAnswer): IntentDecision {
    if (answer.body !== undefined) {
        return { kind: "recorded", answer };
    }
    const detail = `an earlier request ran and was answered with status ${answer.status}; `
        + `its body is too large to be kept (SHA-256 ${answer.digest})`;
    return refuse("repeatAnswerTooLarge", detail);
}

function isSameRequest(stored: IntentRow, { target, body }: Fingerprint): boolean {
    const areBodiesKnown = stored.body !== undefined && body !== undefined;
    return stored.target === target && (!areBodiesKnown || stored.body === body);
}

function refuse(reason: RefusalReason, detail: string): IntentDecision {
    return { kind: "refusal", refusal: createRefusal(reason, detail) };
}
