import { InputError } from "@arbutusdoor/common";
import type { ExitName } from "../exitCodes.js";
import { Command } from "./command.js";
import type { CommandContext } from "./commandContext.js";
import { commands } from "./commands.js";
import { failOnProblems } from "./failOnProblems.js";
import { readDeclarationFile } from "./readDeclarationFile.js";
import { submitDeclaration } from "./submitDeclaration.js";

/** Submits a declaration file that is based on a given version. */
export class SubmitCommand extends Command {
    override readonly name = "submit";
    override readonly synopsis = "<file>";
    override readonly description = "Submit a declaration";
    override readonly options = [
        { flag: "--base <version>", description: "Version that the file is based on; 0 for the first" },
    ];

    override async run(
        context: CommandContext,
        [file = ""]: readonly (string | undefined)[],
    ): Promise<ExitName> {
        const base = context.getInteger("base", 0, Number.MAX_SAFE_INTEGER - 1);
        if (base === undefined) {
            throw new InputError("--base is missing: name the version that the file is based on");
        }
        const check = await readDeclarationFile(file);
        if (check.kind === "invalid") {
            return failOnProblems(context, file, check.problems);
        }
        return submitDeclaration(context, base, check.declaration, file);
    }
}

commands.register(new SubmitCommand());
