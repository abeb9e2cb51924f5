import type { OutcomeKind } from "./outcomeKind.js";

/** Every reason for which a request ends without the backend server's answer, with its HTTP status and outcome. */
const REFUSAL_REASONS = {
    unknownService: { status: 404, outcome: "notRun", retry: false },
    unknownClass: { status: 404, outcome: "notRun", retry: false },
    missingKey: { status: 400, outcome: "notRun", retry: false },
    malformedRequest: { status: 400, outcome: "notRun", retry: false },
    bodyTooLarge: { status: 413, outcome: "notRun", retry: false },
    noConfiguration: { status: 503, outcome: "notRun", retry: true },
    noOwner: { status: 503, outcome: "notRun", retry: true },
    ownerMoving: { status: 503, outcome: "notRun", retry: true },
    ownerUnreachable: { status: 503, outcome: "notRun", retry: true },
    staleOwner: { status: 503, outcome: "notRun", retry: true },
    dataCentreUnreachable: { status: 503, outcome: "notRun", retry: true },
    noServer: { status: 503, outcome: "notRun", retry: true },
    queueFull: { status: 503, outcome: "notRun", retry: true },
    shed: { status: 503, outcome: "notRun", retry: true },
    deadlineBeforeStart: { status: 504, outcome: "notRun", retry: true },
    stopping: { status: 503, outcome: "notRun", retry: true },
    intentStoreUnavailable: { status: 503, outcome: "notRun", retry: true },
    repeatInProgress: { status: 409, outcome: "unknown", retry: false },
    repeatOutcomeUnknown: { status: 409, outcome: "unknown", retry: false },
    repeatMismatch: { status: 422, outcome: "notRun", retry: false },
    serverRefused: { status: 503, outcome: "notRun", retry: true },
    callerGone: { status: 499, outcome: "unknown", retry: false },
    bodyBroken: { status: 400, outcome: "unknown", retry: false },
    uploadStalled: { status: 408, outcome: "unknown", retry: false },
    deadlineAfterStart: { status: 504, outcome: "unknown", retry: false },
    connectionLost: { status: 502, outcome: "unknown", retry: false },
    relayLost: { status: 502, outcome: "unknown", retry: false },
    relayUnreachable: { status: 503, outcome: "notRun", retry: true },
    relayNotReceived: { status: 503, outcome: "notRun", retry: true },
    repeatAnswerTooLarge: { status: 409, outcome: "unknown", retry: false },
    earlierAttemptUnknown: { status: 504, outcome: "unknown", retry: false },
    duplicateRequest: { status: 409, outcome: "unknown", retry: false },
} as const satisfies Record<string, { status: number; outcome: OutcomeKind; retry: boolean; }>;

/** Reason code of a refusal, sent to the caller in the problem body and the `Arbutusdoor-Reason` header. */
type RefusalReason = keyof typeof REFUSAL_REASONS;

export { REFUSAL_REASONS, type RefusalReason };
