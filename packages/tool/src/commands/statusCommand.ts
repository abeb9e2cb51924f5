import type { Milliseconds } from "@arbutusdoor/common";
import { SystemStatus } from "@arbutusdoor/configuration";
import type { ReadOutcome } from "../client/readOutcome.js";
import type { ExitName } from "../exitCodes.js";
import { Command } from "./command.js";
import type { CommandContext } from "./commandContext.js";
import { commands } from "./commands.js";
import { failOnRead } from "./failOnRead.js";
import { getLateHosts } from "./getLateHosts.js";
import { printStatus } from "./printStatus.js";

const STATUS_CALL = { method: "GET", path: "/v1/status" } as const;
const DEFAULT_WAIT_MS = 30_000;
const MAX_CALL_MS = 10_000;
const POLL_INTERVAL_MS = 250;
/** Before the first submission, `--wait` waits for the first version. */
const FIRST_VERSION = 1;

/** Shows the status that one host reports, or waits until every known host has the version in force. */
export class StatusCommand extends Command {
    override readonly name = "status";
    override readonly synopsis = "";
    override readonly description = "Show the system, or wait for a version";
    override readonly options = [
        { flag: "--wait", description: "Wait until each known host has the version in force" },
    ];

    override async run(context: CommandContext): Promise<ExitName> {
        return context.hasFlag("wait") ? this.wait(context) : this.show(context);
    }

    private async show(context: CommandContext): Promise<ExitName> {
        const outcome = await context.getClient().read(STATUS_CALL, SystemStatus);
        if (outcome.kind !== "answer") {
            return failOnRead(context, outcome);
        }
        return context.report({ kind: "status", ...outcome.body }, printStatus(outcome.body));
    }

    private async wait(context: CommandContext): Promise<ExitName> {
        const deadline = context.clock.now() + context.getTimeoutMs(DEFAULT_WAIT_MS);
        let target: number | undefined;
        for (;;) {
            target ??= await this.getTarget(context, deadline);
            const outcome = await this.readStatus(context, deadline);
            if (outcome.kind === "refused") {
                return failOnRead(context, outcome);
            }
            const isLastAttempt = context.clock.now() + POLL_INTERVAL_MS >= deadline;
            if (outcome.kind === "unreachable" && isLastAttempt) {
                return failOnRead(context, outcome);
            }
            if (outcome.kind === "answer") {
                target ??= Math.max(FIRST_VERSION, ...getVersions(outcome.body));
                const lateHosts = getLateHosts(outcome.body, target);
                if (lateHosts.length === 0) {
                    return this.reportAll(context, target, outcome.body);
                }
                if (isLastAttempt) {
                    return this.failOnLateHosts(context, target, lateHosts);
                }
            }
            await context.clock.sleep(POLL_INTERVAL_MS);
        }
    }

    /** Returns the highest version that any of the given hosts reports, or `undefined` when none answers. */
    private async getTarget(context: CommandContext, deadline: Milliseconds): Promise<number | undefined> {
        const client = context.getClient();
        const timeoutMs = this.getCallTimeoutMs(context, deadline);
        const replies = await Promise.all(
            client.hosts.map(host => client.call(host, STATUS_CALL, timeoutMs)),
        );
        const versions = replies.flatMap(reply => {
            const status = SystemStatus.safeParse(reply.kind === "reply" ? reply.json : undefined);
            return status.success ? getVersions(status.data) : [];
        });
        return versions.length === 0 ? undefined : Math.max(FIRST_VERSION, ...versions);
    }

    private readStatus(context: CommandContext, deadline: Milliseconds): Promise<ReadOutcome<SystemStatus>> {
        return context.getClient().read(STATUS_CALL, SystemStatus, this.getCallTimeoutMs(context, deadline));
    }

    private getCallTimeoutMs(context: CommandContext, deadline: Milliseconds): Milliseconds {
        return Math.max(1, Math.min(MAX_CALL_MS, deadline - context.clock.now()));
    }

    private reportAll(context: CommandContext, version: number, status: SystemStatus): ExitName {
        const hosts = status.hosts.map(({ host }) => host);
        const line = `version ${version} is in force on all known hosts: ${hosts.join(", ")}`;
        return context.report({ kind: "inForce", version, hosts }, [line]);
    }

    private failOnLateHosts(
        context: CommandContext,
        version: number,
        lateHosts: readonly string[],
    ): ExitName {
        const lines = lateHosts.map(host => `  ${host}`);
        const title = `these hosts did not confirm version ${version} in time:`;
        return context.fail("unreachable", { kind: "late", version, lateHosts }, [title, ...lines]);
    }
}

function getVersions(status: SystemStatus): number[] {
    return [status.configuration?.version ?? 0, ...status.hosts.map(({ version }) => version)];
}

commands.register(new StatusCommand());
