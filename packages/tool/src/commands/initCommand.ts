import { InputError } from "@arbutusdoor/common";
import {
    createLoopbackDeclaration,
    newAqabaDeclaration,
    newLimaDeclaration,
    printDeclaration,
} from "@arbutusdoor/configuration";
import { writeFile } from "node:fs/promises";
import type { ExitName } from "../exitCodes.js";
import { Command } from "./command.js";
import type { CommandContext } from "./commandContext.js";
import { commands } from "./commands.js";

const DEFAULT_FILE = "declaration.json";
const SAMPLES = {
    aqaba: newAqabaDeclaration,
    lima: newLimaDeclaration,
    local: createLoopbackDeclaration,
} as const;

/** Writes a sample declaration to edit. */
export class InitCommand extends Command {
    override readonly name = "init";
    override readonly synopsis = "[file]";
    override readonly description = `Write a sample declaration to edit (${DEFAULT_FILE})`;
    override readonly options = [
        { flag: "--sample <name>", description: "aqaba (default), lima or local" },
        { flag: "--force", description: "Write over an existing file" },
    ];

    override async run(
        context: CommandContext,
        [file = DEFAULT_FILE]: readonly (string | undefined)[],
    ): Promise<ExitName> {
        const sample = context.getText("sample") ?? "aqaba";
        if (!isSampleName(sample)) {
            throw new InputError(`there is no sample "${sample}": take aqaba, lima or local`);
        }
        const text = printDeclaration(SAMPLES[sample]());
        try {
            await writeFile(file, text, { flag: context.hasFlag("force") ? "w" : "wx" });
        }
        catch (error) {
            return fail(context, file, (error as NodeJS.ErrnoException).code ?? "failed");
        }
        return context.report({ kind: "written", file }, [`wrote ${file}`]);
    }
}

function fail(context: CommandContext, file: string, code: string): ExitName {
    const reason = code === "EEXIST" ? "it exists; --force writes over it" : `cannot write it: ${code}`;
    return context.fail("refused", { kind: "refused", file, reason }, [`${file}: ${reason}`]);
}

function isSampleName(name: string): name is keyof typeof SAMPLES {
    return Object.hasOwn(SAMPLES, name);
}

commands.register(new InitCommand());
