import { printDifference, SubmitOutcome } from "@arbutusdoor/configuration";
import { OperationRun } from "../client/operationRun.js";
import type { ExitName } from "../exitCodes.js";
import type { CommandContext } from "./commandContext.js";
import { failOnOperation } from "./failOnOperation.js";
import { failOnProblems } from "./failOnProblems.js";

/** Submits a declaration based on version `base` and reports the outcome. `subject` names it in the report. */
export async function submitDeclaration(
    context: CommandContext,
    base: number,
    declaration: object,
    subject: string,
): Promise<ExitName> {
    const body = { base, operationId: context.createOperationId(), declaration };
    const call = { method: "POST", path: "/v1/configuration", body } as const;
    const run = new OperationRun(
        context.getClient(),
        context.clock,
        call,
        SubmitOutcome,
        outcome => isFinal(outcome, base),
    );
    const result = await run.run();
    if (result.kind !== "settled") {
        return failOnOperation(context, result);
    }
    return report(context, result.outcome, base, subject);
}

/** Whether an outcome is conclusive after a lost answer: the accepted version is recorded, or a later version replaced `base`. */
function isFinal(outcome: SubmitOutcome, base: number): boolean {
    return outcome.kind === "accepted" || (outcome.kind === "conflict" && outcome.currentVersion > base);
}

function report(context: CommandContext, outcome: SubmitOutcome, base: number, subject: string): ExitName {
    switch (outcome.kind) {
        case "accepted":
            return context.report(outcome, [`${subject} is accepted as version ${outcome.version}`]);
        case "conflict":
            return context.fail("conflict", outcome, [
                `version ${outcome.currentVersion} is in force, not ${base}; nothing was changed`,
                ...printConflict(outcome.differences),
            ]);
        case "invalid":
            return failOnProblems(context, subject, outcome.problems);
        case "notRun":
            return context.fail("unreachable", outcome, [`nothing was changed: ${outcome.reason}`]);
        case "unknown":
            return context.fail("unknown", outcome, [`the outcome is unknown: ${outcome.reason}`]);
    }
}

function printConflict(
    differences: Extract<SubmitOutcome, { kind: "conflict"; }>["differences"],
): readonly string[] {
    if (!differences) {
        return ["its declaration cannot be read now, so there are no differences to show"];
    }
    if (differences.length === 0) {
        return ["it already says what you submitted"];
    }
    const lines = differences.map(difference => `  ${printDifference(difference)}`);
    return ["from the version in force to yours:", ...lines];
}
