import { ArbutusdoorError, InputError, InvariantError } from "@arbutusdoor/common";
import { CommandContext } from "./commands/commandContext.js";
import { commands } from "./commands/commands.js";
import { createCommandLine } from "./createCommandLine.js";
import { EXIT_CODES, type ExitName } from "./exitCodes.js";
import type { Runtime } from "./runtime.js";

const PARSER_ERROR_NAME = "CACError";

type ParsedCommand = { readonly name: string; readonly args: readonly (string | undefined)[]; };

/** Runs one command of the tool and returns its exit code. Wrong use is reported in one sentence, without a stack trace. */
export async function runTool(args: readonly string[], runtime: Runtime): Promise<number> {
    return EXIT_CODES[await run(args, runtime)].code;
}

async function run(args: readonly string[], runtime: Runtime): Promise<ExitName> {
    const { terminal } = runtime;
    try {
        const parsed = parse(args);
        return typeof parsed === "string" ? parsed : await runCommand(parsed, args, runtime);
    }
    catch (error) {
        if (error instanceof InputError || (error as Error).name === PARSER_ERROR_NAME) {
            terminal.printError(`${(error as Error).message}; see arbutusdoor --help`);
            return "usage";
        }
        throw error;
    }
}

function parse(args: readonly string[]): ParsedCommand | ExitName {
    let parsed: ParsedCommand | undefined;
    const commandLine = createCommandLine((name, values) => {
        parsed = { name, args: values };
    });
    commandLine.parse(["node", "arbutusdoor", ...args], { run: false });
    if (commandLine.options.help) {
        return "done";
    }
    if (!commandLine.matchedCommand) {
        throw new InputError(args.length === 0 ? "name a command" : "there is no such command");
    }
    commandLine.runMatchedCommand();
    if (!parsed) {
        throw new InvariantError("the parser ran no command");
    }
    return parsed;
}

async function runCommand(
    { name, args }: ParsedCommand,
    allArgs: readonly string[],
    runtime: Runtime,
): Promise<ExitName> {
    const command = commands.get(name);
    if (!command) {
        throw new ArbutusdoorError(`command "${name}" is not registered`);
    }
    const context = new CommandContext(runtime, allArgs);
    try {
        return await command.run(context, args);
    }
    finally {
        await context.close();
    }
}
