import type { Intent } from "./intent.js";
import type { IntentOutcome } from "./intentOutcome.js";

const STATES = { answered: "answered", notRun: "free", unknown: "unknown" } as const;

/** Creates the row of an intent whose request has ended. */
export function createEndedRow(intent: Intent, outcome: IntentOutcome): object {
    const answer = outcome.kind === "answered" ? { answer: outcome.answer } : {};
    return { ...intent.begun, ...answer, state: STATES[outcome.kind] };
}
