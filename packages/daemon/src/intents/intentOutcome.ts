import type { RecordedAnswer } from "./recordedAnswer.js";

/** How the request of an intent ended. `notRun` lets another request use the intent, so it must be certain. */
export type IntentOutcome =
    | { readonly kind: "answered"; readonly answer: RecordedAnswer; }
    | { readonly kind: "notRun"; }
    | { readonly kind: "unknown"; };
