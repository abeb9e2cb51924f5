import type { ReadOutcome } from "../client/readOutcome.js";
import type { ExitName } from "../exitCodes.js";
import type { CommandContext } from "./commandContext.js";

type Failure = Exclude<ReadOutcome<unknown>, { kind: "answer"; }>;

/** Reports a read that was refused or that no host answered. */
export function failOnRead(context: CommandContext, outcome: Failure): ExitName {
    if (outcome.kind === "refused") {
        const { host, reason } = outcome;
        return context.fail("refused", { kind: "refused", host, reason }, [`${host} refused: ${reason}`]);
    }
    const reasons = outcome.failures.map(({ host, reason }) => `${host}: ${reason}`);
    const lines = reasons.map(reason => `  ${reason}`);
    return context.fail("unreachable", { kind: "unreachable", reasons }, ["no host answered:", ...lines]);
}
