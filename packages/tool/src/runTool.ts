import { ArbutusdoorError, InputError, InvariantError } from "@arbutusdoor/common";
import { CommandContext } from "./commands/commandContext.js";
import { commands } from "./commands/commands.js";
import { createCommandLine } from "./createCommandLine.js";
import { EXIT_CODES, type ExitName } from "./exitCodes.js";
import type { Runtime } from "./runtime.js";

const PARSER_ERROR_NAME = "CACError";

type ChosenCommand = { readonly name: string; readonly args: readonly (string | undefined)[]; };

/** Runs one command of the tool and returns its exit code. Wrong use gets a sentence, never a stack trace. */
export async function runTool(args: readonly string[], surroundings: Runtime): Promise<number> {
    return EXIT_CODES[await run(args, surroundings)].code;
}

async function run(args: readonly string[], surroundings: Runtime): Promise<ExitName> {
    const { terminal } = surroundings;
    try {
        const chosen = parse(args);
        return typeof chosen === "string" ? chosen : await runCommand(chosen, args, surroundings);
    }
    catch (error) {
        if (error instanceof InputError || (error as Error).name === PARSER_ERROR_NAME) {
            terminal.printError(`${(error as Error).message}; see arbutusdoor --help`);
            return "usage";
        }
        throw error;
    }
}

function parse(args: readonly string[]): ChosenCommand | ExitName {
    let chosen: ChosenCommand | undefined;
    const commandLine = createCommandLine((name, values) => {
        chosen = { name, args: values };
    });
    commandLine.parse(["node", "arbutusdoor", ...args], { run: false });
    if (commandLine.options.help) {
        return "done";
    }
    if (!commandLine.matchedCommand) {
        throw new InputError(args.length === 0 ? "name a command" : "there is no such command");
    }
    commandLine.runMatchedCommand();
    if (!chosen) {
        throw new InvariantError("the parser ran no command");
    }
    return chosen;
}

async function runCommand(
    { name, args }: ChosenCommand,
    allArgs: readonly string[],
    surroundings: Runtime,
): Promise<ExitName> {
    const command = commands.get(name);
    if (!command) {
        throw new ArbutusdoorError(`command "${name}" is not registered`);
    }
    const context = new CommandContext(surroundings, allArgs);
    try {
        return await command.run(context, args);
    }
    finally {
        await context.close();
    }
}
