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
const ASK_INTERVAL_MS = 250;
/** Waiting before the first submission is waiting for it. */
const FIRST_VERSION = 1;

/** Shows the system as one host sees it, or waits until every host has the version in force. */
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
        const end = context.clock.now() + context.getTimeoutMs(DEFAULT_WAIT_MS);
        let target: number | undefined;
        for (;;) {
            target ??= await this.getTarget(context, end);
            const outcome = await this.askUntil(context, end);
            if (outcome.kind === "refused") {
                return failOnRead(context, outcome);
            }
            const isOver = context.clock.now() + ASK_INTERVAL_MS >= end;
            if (outcome.kind === "unreachable" && isOver) {
                return failOnRead(context, outcome);
            }
            if (outcome.kind === "answer") {
                target ??= Math.max(FIRST_VERSION, ...getVersions(outcome.body));
                const lateHosts = getLateHosts(outcome.body, target);
                if (lateHosts.length === 0) {
                    return this.reportAll(context, target, outcome.body);
                }
                if (isOver) {
                    return this.failOnLate(context, target, lateHosts);
                }
            }
            await context.clock.sleep(ASK_INTERVAL_MS);
        }
    }

    /** The highest version that any of the given hosts knows of; `undefined` when none answers. */
    private async getTarget(context: CommandContext, end: Milliseconds): Promise<number | undefined> {
        const client = context.getClient();
        const timeoutMs = this.getCallMs(context, end);
        const replies = await Promise.all(
            client.hosts.map(host => client.call(host, STATUS_CALL, timeoutMs)),
        );
        const versions = replies.flatMap(reply => {
            const status = SystemStatus.safeParse(reply.kind === "reply" ? reply.json : undefined);
            return status.success ? getVersions(status.data) : [];
        });
        return versions.length === 0 ? undefined : Math.max(FIRST_VERSION, ...versions);
    }

    private askUntil(context: CommandContext, end: Milliseconds): Promise<ReadOutcome<SystemStatus>> {
        return context.getClient().read(STATUS_CALL, SystemStatus, this.getCallMs(context, end));
    }

    private getCallMs(context: CommandContext, end: Milliseconds): Milliseconds {
        return Math.max(1, Math.min(MAX_CALL_MS, end - context.clock.now()));
    }

    private reportAll(context: CommandContext, version: number, status: SystemStatus): ExitName {
        const hosts = status.hosts.map(({ host }) => host);
        const line = `version ${version} is in force on all known hosts: ${hosts.join(", ")}`;
        return context.report({ kind: "inForce", version, hosts }, [line]);
    }

    private failOnLate(context: CommandContext, version: number, lateHosts: readonly string[]): ExitName {
        const lines = lateHosts.map(host => `  ${host}`);
        const title = `these hosts did not confirm version ${version} in time:`;
        return context.fail("unreachable", { kind: "late", version, lateHosts }, [title, ...lines]);
    }
}

function getVersions(status: SystemStatus): number[] {
    return [status.configuration?.version ?? 0, ...status.hosts.map(({ version }) => version)];
}

commands.register(new StatusCommand());
