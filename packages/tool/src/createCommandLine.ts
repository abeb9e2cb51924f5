import { type CAC, cac } from "cac";
import "./commands/index.js";
import { commands } from "./commands/commands.js";
import { EXIT_CODES } from "./exitCodes.js";

const ENVIRONMENT_HELP = [
    "  ARBUTUSDOOR_TOKEN  the operators' token (never a flag)",
    "  ARBUTUSDOOR_HOSTS  hosts, separated by commas; --host goes before it",
].join("\n");

/** Creates the parser with all commands. `onCommand` receives the name and the arguments of the command that was given. */
export function createCommandLine(onCommand: (name: string, args: (string | undefined)[]) => void): CAC {
    const commandLine = cac("arbutusdoor");
    commandLine.option(
        "--host <address>",
        "IP number and port of an entry host's operators' port; repeatable",
    );
    commandLine.option(
        "--timeout <ms>",
        "Longest wait for an answer (10000), for status --wait in all (30000)",
    );
    commandLine.option("--json", "Print results as JSON, one object a line");
    for (const command of commands.list()) {
        const entry = commandLine.command(`${command.name} ${command.synopsis}`.trim(), command.description);
        for (const { flag, description } of command.options) {
            entry.option(flag, description);
        }
        entry.action((...args: unknown[]) => onCommand(command.name, args.slice(0, -1) as string[]));
    }
    commandLine.help(sections => {
        sections.push({ title: "Environment", body: ENVIRONMENT_HELP });
        sections.push({ title: "Exit codes", body: printExitCodes() });
    });
    return commandLine;
}

function printExitCodes(): string {
    return Object.values(EXIT_CODES).map(({ code, text }) => `  ${code}  ${text}`).join("\n");
}
