import type { Refusal } from "@arbutusdoor/common";
import type { Intent } from "./intent.js";
import type { RecordedAnswer } from "./recordedAnswer.js";

/** Result of beginning an intent; the request may be sent only on `proceed`, and then once. */
export type IntentBeginning =
    | { readonly kind: "proceed"; readonly intent: Intent; }
    | { readonly kind: "recorded"; readonly answer: RecordedAnswer; }
    | { readonly kind: "refusal"; readonly refusal: Refusal; };
