import { getDeclarationDigest } from "@arbutusdoor/configuration";
import type { ExitName } from "../exitCodes.js";
import { Command } from "./command.js";
import type { CommandContext } from "./commandContext.js";
import { commands } from "./commands.js";
import { failOnProblems } from "./failOnProblems.js";
import { readDeclarationFile } from "./readDeclarationFile.js";

/** Validates a declaration file without calling a host. */
export class CheckCommand extends Command {
    override readonly name = "check";
    override readonly synopsis = "<file>";
    override readonly description = "Check a declaration; calls no host";

    override async run(
        context: CommandContext,
        [file = ""]: readonly (string | undefined)[],
    ): Promise<ExitName> {
        const check = await readDeclarationFile(file);
        if (check.kind === "invalid") {
            return failOnProblems(context, file, check.problems);
        }
        const digest = getDeclarationDigest(check.declaration);
        const { services, servers } = check.declaration;
        return context.report({ kind: "valid", digest }, [
            `${file} is valid: ${services.length} services, ${servers.length} servers, digest ${digest}`,
        ]);
    }
}

commands.register(new CheckCommand());
