import { InputError } from "@arbutusdoor/common";
import { Loss } from "@arbutusdoor/configuration";
import type { CommandContext } from "./commandContext.js";

const USAGE = "give --server or --entry-host with --incarnation, or --data-centre alone";

/** Returns what the flags of attest-lost name as lost. Throws InputError unless they name exactly one server, host or data centre. */
export function readLoss(context: CommandContext): Loss {
    const incarnation = context.getText("incarnation");
    const names = {
        server: context.getText("server"),
        host: context.getText("entry-host"),
        dataCentre: context.getText("data-centre"),
    };
    const given = Object.entries(names).filter(([, name]) => name !== undefined);
    const [kind, name] = given[0] ?? ["", ""];
    if (given.length !== 1 || (kind === "dataCentre") !== (incarnation === undefined)) {
        throw new InputError(USAGE);
    }
    const loss = Loss.safeParse({ kind, [kind]: name, incarnation });
    if (!loss.success) {
        const problems = loss.error.issues.map(issue => `${issue.path.join(".")} ${issue.message}`);
        throw new InputError(problems.join("; "));
    }
    return loss.data;
}
