import { DiffAnswer, printDifference } from "@arbutusdoor/configuration";
import type { ExitName } from "../exitCodes.js";
import { Command } from "./command.js";
import type { CommandContext } from "./commandContext.js";
import { commands } from "./commands.js";
import { failOnProblems } from "./failOnProblems.js";
import { failOnRead } from "./failOnRead.js";
import { readDeclarationFile } from "./readDeclarationFile.js";

/** Shows the differences between the version in force and a declaration file. */
export class DiffCommand extends Command {
    override readonly name = "diff";
    override readonly synopsis = "<file>";
    override readonly description = "Show what a declaration would change in the version in force";

    override async run(
        context: CommandContext,
        [file = ""]: readonly (string | undefined)[],
    ): Promise<ExitName> {
        const check = await readDeclarationFile(file);
        if (check.kind === "invalid") {
            return failOnProblems(context, file, check.problems);
        }
        const call = { method: "POST", path: "/v1/diff", body: { declaration: check.declaration } } as const;
        const outcome = await context.getClient().read(call, DiffAnswer);
        if (outcome.kind !== "answer") {
            return failOnRead(context, outcome);
        }
        const { version, differences } = outcome.body;
        const lines = differences.map(difference => `  ${printDifference(difference)}`);
        const title = lines.length === 0
            ? `no differences from version ${version}`
            : `from version ${version}:`;
        return context.report({ kind: "differences", ...outcome.body }, [title, ...lines]);
    }
}

commands.register(new DiffCommand());
