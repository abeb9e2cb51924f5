import type { SubmitOutcome } from "@arbutusdoor/configuration";
import type { OperatorReply } from "./operatorReply.js";

const FAILURES = {
    conflict: { status: 409, title: "another version is in force" },
    invalid: { status: 422, title: "the declaration has problems" },
    notRun: { status: 503, title: "the submission was not accepted" },
    unknown: { status: 504, title: "the outcome of the submission is unknown" },
} as const;

/** Creates the reply to a submission; a failure carries the typed outcome as members of the problem. */
export function createSubmitReply(outcome: SubmitOutcome): OperatorReply {
    if (outcome.kind === "accepted") {
        return { kind: "answer", body: outcome };
    }
    const detail = "reason" in outcome ? outcome.reason : undefined;
    return { kind: "problem", ...FAILURES[outcome.kind], detail, members: outcome };
}
