import { InputError } from "@arbutusdoor/common";
import { AttestOutcome, type Loss } from "@arbutusdoor/configuration";
import { OperationRun } from "../client/operationRun.js";
import type { ExitName } from "../exitCodes.js";
import { Command } from "./command.js";
import type { CommandContext } from "./commandContext.js";
import { commands } from "./commands.js";
import { failOnOperation } from "./failOnOperation.js";

/** Records the operator's word that a server's run or a data centre is lost and will not act again. */
export class AttestLostCommand extends Command {
    override readonly name = "attest-lost";
    override readonly synopsis = "";
    override readonly description =
        "Attest that a server's run or a data centre is lost and will not act again";
    override readonly options = [
        { flag: "--server <name>", description: "The lost server" },
        { flag: "--incarnation <id>", description: "Its lost run, as status shows it" },
        { flag: "--data-centre <name>", description: "The lost data centre" },
        { flag: "--by <name>", description: "Who attests it ($USER)" },
    ];

    override async run(context: CommandContext): Promise<ExitName> {
        const loss = this.getLoss(context);
        const by = context.getText("by") ?? context.getVariable("USER");
        if (!by) {
            throw new InputError("--by is missing: the record needs a name");
        }
        const body = { loss, by, operationId: context.newOperationId() };
        const call = { method: "POST", path: "/v1/attest-lost", body } as const;
        const run = new OperationRun(context.getClient(), context.clock, call, AttestOutcome, isRecorded);
        const result = await run.run();
        if (result.kind !== "settled") {
            return failOnOperation(context, result);
        }
        return this.report(context, result.outcome);
    }

    private getLoss(context: CommandContext): Loss {
        const server = context.getText("server");
        const incarnation = context.getText("incarnation");
        const dataCentre = context.getText("data-centre");
        if (server && incarnation && !dataCentre) {
            return { kind: "server", server, incarnation };
        }
        if (dataCentre && !server && !incarnation) {
            return { kind: "dataCentre", dataCentre };
        }
        throw new InputError("give --server with --incarnation, or --data-centre alone");
    }

    private report(context: CommandContext, outcome: AttestOutcome): ExitName {
        if (outcome.kind !== "recorded") {
            return context.fail("unknown", outcome, [outcome.reason]);
        }
        const { attestedAt, by, loss } = outcome.attestation;
        const subject = loss.kind === "server"
            ? `server ${loss.server}, incarnation ${loss.incarnation}`
            : `data centre ${loss.dataCentre}`;
        const time = new Date(attestedAt).toISOString();
        return context.report(outcome, [`recorded as lost: ${subject}, attested by ${by} at ${time}`]);
    }
}

function isRecorded({ kind }: AttestOutcome): boolean {
    return kind === "recorded";
}

commands.register(new AttestLostCommand());
