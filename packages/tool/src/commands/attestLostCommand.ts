import { InputError } from "@arbutusdoor/common";
import { AttestOutcome, type Loss } from "@arbutusdoor/configuration";
import { OperationRun } from "../client/operationRun.js";
import type { ExitName } from "../exitCodes.js";
import { Command } from "./command.js";
import type { CommandContext } from "./commandContext.js";
import { commands } from "./commands.js";
import { failOnOperation } from "./failOnOperation.js";
import { readLoss } from "./readLoss.js";

/** Records an operator's attestation that an incarnation of a server or entry host, or a data centre, is lost and will not act again. */
export class AttestLostCommand extends Command {
    override readonly name = "attest-lost";
    override readonly synopsis = "";
    override readonly description =
        "Attest that a server, entry host or data centre is lost and will not act again";
    override readonly options = [
        { flag: "--server <name>", description: "The lost server" },
        { flag: "--entry-host <name>", description: "The lost entry host" },
        {
            flag: "--incarnation <id>",
            description: "The lost run of the server or entry host, as status shows it",
        },
        { flag: "--data-centre <name>", description: "The lost data centre" },
        { flag: "--by <name>", description: "Who attests it ($USER)" },
    ];

    override async run(context: CommandContext): Promise<ExitName> {
        const loss = readLoss(context);
        const by = context.getText("by") ?? context.getVariable("USER");
        if (!by) {
            throw new InputError("--by is missing: the record needs a name");
        }
        const body = { loss, by, operationId: context.createOperationId() };
        const call = { method: "POST", path: "/v1/attest-lost", body } as const;
        const run = new OperationRun(context.getClient(), context.clock, call, AttestOutcome, isRecorded);
        const result = await run.run();
        if (result.kind !== "settled") {
            return failOnOperation(context, result);
        }
        return this.report(context, result.outcome);
    }

    private report(context: CommandContext, outcome: AttestOutcome): ExitName {
        if (outcome.kind !== "recorded") {
            return context.fail("unknown", outcome, [outcome.reason]);
        }
        const { attestation } = outcome;
        const { attestedAt, by } = attestation;
        const time = new Date(attestedAt).toISOString();
        return context.report(outcome, [
            `recorded as lost: ${printLoss(attestation)}, attested by ${by} at ${time}`,
        ]);
    }
}

function printLoss(loss: Loss): string {
    switch (loss.kind) {
        case "server":
            return `server ${loss.server}, incarnation ${loss.incarnation}`;
        case "host":
            return `entry host ${loss.host}, incarnation ${loss.incarnation}`;
        case "dataCentre":
            return `data centre ${loss.dataCentre}`;
    }
}

function isRecorded({ kind }: AttestOutcome): boolean {
    return kind === "recorded";
}

commands.register(new AttestLostCommand());
