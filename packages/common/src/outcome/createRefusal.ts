import type { Refusal } from "./refusal.js";
import { REFUSAL_REASONS, type RefusalReason } from "./refusalReason.js";

/** Builds the refusal of a reason, with the outcome that the reason stands for. */
export function createRefusal(reason: RefusalReason, detail: string): Refusal {
    return { outcome: REFUSAL_REASONS[reason].outcome, reason, detail };
}
