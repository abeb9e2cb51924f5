import type { Milliseconds } from "@arbutusdoor/common";
import type { Intent } from "./intent.js";
import type { IntentRequest } from "./intentRequest.js";

/** Creates the row of an intent that begins now. @param now wall-clock time */
export function createBegunRow(
    request: IntentRequest,
    now: Milliseconds,
    retentionMs: Milliseconds,
): Intent["begun"] {
    const { requestId, fingerprint, deadline } = request;
    return {
        format: 1,
        state: "begun",
        requestId,
        ...fingerprint,
        deadlineAt: now + deadline,
        expiresAt: now + deadline + retentionMs,
    };
}
