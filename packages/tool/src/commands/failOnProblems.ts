import type { Problem } from "@arbutusdoor/configuration";
import type { ExitName } from "../exitCodes.js";
import type { CommandContext } from "./commandContext.js";

/** Reports an invalid declaration with its problems. */
export function failOnProblems(
    context: CommandContext,
    subject: string,
    problems: readonly Problem[],
): ExitName {
    const lines = problems.map(({ path, message }) => `  ${path || "declaration"}: ${message}`);
    return context.fail("refused", { kind: "invalid", problems }, [`${subject} has problems:`, ...lines]);
}
