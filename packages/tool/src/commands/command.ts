import type { ExitName } from "../exitCodes.js";
import type { CommandContext } from "./commandContext.js";
import type { CommandOption } from "./commandOption.js";

/** A command of the tool. Each has its own file, which registers it in `commands`. */
export abstract class Command {
    /** Unique name. */
    abstract readonly name: string;
    /** Arguments, such as `<file>`; empty for none. */
    abstract readonly synopsis: string;
    abstract readonly description: string;
    readonly options: readonly CommandOption[] = [];

    /** Runs the command. Throws InputError on wrong use. */
    abstract run(context: CommandContext, args: readonly (string | undefined)[]): Promise<ExitName>;
}
