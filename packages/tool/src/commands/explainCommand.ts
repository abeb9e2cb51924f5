import { KeyExplanation } from "@arbutusdoor/configuration";
import type { ExitName } from "../exitCodes.js";
import { Command } from "./command.js";
import type { CommandContext } from "./commandContext.js";
import { commands } from "./commands.js";
import { failOnRead } from "./failOnRead.js";
import { printExplanation } from "./printExplanation.js";

/** Explains which server owns a key and why. */
export class ExplainCommand extends Command {
    override readonly name = "explain";
    override readonly synopsis = "<service> <key>";
    override readonly description = "Say where a key is and why";

    override async run(
        context: CommandContext,
        [service = "", key = ""]: readonly (string | undefined)[],
    ): Promise<ExitName> {
        const query = new URLSearchParams({ service, key });
        const call = { method: "GET", path: `/v1/explain?${query}` } as const;
        const outcome = await context.getClient().read(call, KeyExplanation);
        if (outcome.kind !== "answer") {
            return failOnRead(context, outcome);
        }
        return context.report(outcome.body, printExplanation(outcome.body));
    }
}

commands.register(new ExplainCommand());
