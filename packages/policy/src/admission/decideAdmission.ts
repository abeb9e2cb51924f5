import type { Milliseconds } from "@arbutusdoor/common";
import type { AdmissionDecision } from "./admissionDecision.js";
import type { CallerReturn } from "./callerReturn.js";

/** What a decision is based on. */
type AdmissionInput = {
    readonly now: Milliseconds;
    /** When the answer is late, counted from the caller's first attempt, and when it is useless. */
    readonly targetAt: Milliseconds;
    readonly deadlineAt: Milliseconds;
    readonly caller: CallerReturn["kind"];
    /** Expected wait of the request at its server, and the time that its work takes. */
    readonly waitMs: Milliseconds;
    readonly workMs: Milliseconds;
    /** Whether the server, or most of the service's, has shed requests recently. */
    readonly isShedding: boolean;
    /** Share of such requests that is admitted. */
    readonly share: number;
    /** Random number from 0 to 1. */
    readonly fraction: number;
};

/** Decides whether a request may be sent to its server. */
export function decideAdmission(
    { caller, deadlineAt, fraction, isShedding, now, share, targetAt, waitMs, workMs }: AdmissionInput,
): AdmissionDecision {
    const endsAt = now + waitMs + workMs;
    if (endsAt > deadlineAt) {
        return { kind: "refused", reason: "noTimeToRun" };
    }
    if (isShedding && endsAt > targetAt) {
        return { kind: "refused", reason: "lateUnderLoad" };
    }
    if (fraction >= share) {
        return { kind: "refused", reason: caller === "repeated" ? "repeatedTooEarly" : "lessUrgent" };
    }
    return { kind: "admitted" };
}
