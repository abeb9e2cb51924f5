import type { OperationOutcome } from "../client/operationOutcome.js";
import type { ExitName } from "../exitCodes.js";
import type { CommandContext } from "./commandContext.js";

type Failure = Exclude<OperationOutcome<unknown>, { kind: "settled"; }>;

/** Reports an operation that ended without an outcome from a host: refused, unreachable or unknown. */
export function failOnOperation(context: CommandContext, outcome: Failure): ExitName {
    switch (outcome.kind) {
        case "refused":
            return context.fail("refused", outcome, [`refused: ${outcome.reason}`]);
        case "unreachable":
            return context.fail("unreachable", outcome, [
                "nothing was changed; no host could carry it out:",
                ...outcome.reasons.map(reason => `  ${reason}`),
            ]);
        case "unknown":
            return context.fail("unknown", outcome, [
                "the outcome is unknown: it may have taken effect, or may yet; look with `status` before trying again:",
                ...outcome.reasons.map(reason => `  ${reason}`),
            ]);
    }
}
