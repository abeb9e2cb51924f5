import type { Refusal } from "./refusal.js";
import { REFUSAL_REASONS, type RefusalReason } from "./refusalReason.js";

/** Creates a refusal with the outcome that belongs to its reason. */
export function createRefusal(reason: RefusalReason, detail: string): Refusal {
    return { outcome: REFUSAL_REASONS[reason].outcome, reason, detail };
}
