import { checkDeclaration, ConfigurationView, drainServer } from "@arbutusdoor/configuration";
import type { ExitName } from "../exitCodes.js";
import { Command } from "./command.js";
import type { CommandContext } from "./commandContext.js";
import { commands } from "./commands.js";
import { failOnRead } from "./failOnRead.js";
import { submitDeclaration } from "./submitDeclaration.js";

/** Submits the declaration in force with one server marked as draining. */
export class DrainCommand extends Command {
    override readonly name = "drain";
    override readonly synopsis = "<server>";
    override readonly description = "Mark a server as draining in the version in force";

    override async run(
        context: CommandContext,
        [server = ""]: readonly (string | undefined)[],
    ): Promise<ExitName> {
        const call = { method: "GET", path: "/v1/configuration" } as const;
        const outcome = await context.getClient().read(call, ConfigurationView);
        if (outcome.kind !== "answer") {
            return failOnRead(context, outcome);
        }
        const { version, declaration } = outcome.body;
        const check = checkDeclaration(declaration);
        if (check.kind === "invalid") {
            const reason = version === 0
                ? "no configuration is in force"
                : `this release of the tool cannot read version ${version}`;
            return context.fail("refused", { kind: "refused", reason }, [reason]);
        }
        const change = drainServer(check.declaration, server);
        switch (change.kind) {
            case "unknownServer":
                return context.fail("refused", change, [
                    `server ${server} is not declared in version ${version}`,
                ]);
            case "alreadyDraining":
                return context.report(change, [`server ${server} is draining already in version ${version}`]);
            case "changed":
                return submitDeclaration(context, version, change.declaration, `draining ${server}`);
        }
    }
}

commands.register(new DrainCommand());
