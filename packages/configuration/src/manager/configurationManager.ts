import type { ObjectStore, TableService } from "@arbutusdoor/clients";
import type { Clock, Logger, Metrics, OperationId, RandomSource, Timer } from "@arbutusdoor/common";
import PQueue from "p-queue";
import { checkDeclaration } from "../check/checkDeclaration.js";
import type { ConfigurationVersion } from "../configurationVersion.js";
import { createConfigurationVersion } from "../createConfigurationVersion.js";
import type { OfferedConfiguration } from "../offeredConfiguration.js";
import type { ConfigurationHead } from "../store/configurationHead.js";
import { fetchBody } from "../store/fetchBody.js";
import { readHead } from "../store/readHead.js";
import type { ConfigurationManagerOptions } from "./configurationManagerOptions.js";
import type { ConfigurationSettings } from "./configurationSettings.js";
import { reconcileConfiguration } from "./reconcileConfiguration.js";
import type { Reconciliation } from "./reconciliation.js";
import type { Submission } from "./submission.js";
import { SubmissionRun } from "./submissionRun.js";
import type { SubmitOutcome } from "./submitOutcome.js";

const JITTER_SHARE = 0.2;
const MICROSECONDS_PER_MS = 1_000;

type AdoptionListener = (adopted: ConfigurationVersion) => void;

/**
 * Holds the configuration in force on this host. New versions come from polling the head row, from peers (`offer`) and from
 * this host's own submissions; the version in force only increases.
 */
export class ConfigurationManager {
    private readonly options: ConfigurationManagerOptions;
    private readonly clock: Clock;
    private readonly table: TableService;
    private readonly objects: ObjectStore;
    private readonly random: RandomSource;
    private readonly logger: Logger;
    private readonly metrics: Metrics;
    private readonly settings: ConfigurationSettings;
    private readonly queue = new PQueue({ concurrency: 1 });
    private readonly listeners = new Set<AdoptionListener>();
    private inForce: ConfigurationVersion | undefined;
    private isPoller: boolean;
    private isStarted = false;
    private timer: Timer | undefined;
    private lastProblem = "";
    private isTableAvailable = true;
    private isObjectStoreAvailable = true;

    constructor(options: ConfigurationManagerOptions) {
        this.options = options;
        this.clock = options.clock;
        this.table = options.table;
        this.objects = options.objects;
        this.random = options.random;
        this.logger = options.logger;
        this.metrics = options.metrics;
        this.settings = options.settings;
        this.isPoller = options.settings.isPoller;
        this.metrics.gauge("arbutusdoor_configuration_version", () => this.inForce?.version ?? 0);
    }

    /** Returns the configuration in force on this host, or `undefined` before the first one. */
    current(): ConfigurationVersion | undefined {
        return this.inForce;
    }

    /** Calls the listener after each adoption, until the returned function is called. */
    onAdopted(listener: AdoptionListener): () => void {
        this.listeners.add(listener);
        return () => this.listeners.delete(listener);
    }

    /** Starts polling, with the first poll immediately. */
    start(): void {
        if (!this.isStarted) {
            this.isStarted = true;
            this.schedule(0);
        }
    }

    /** Stops polling. Submissions under way continue until their outcome. */
    stop(): void {
        this.isStarted = false;
        this.timer?.cancel();
    }

    /** Sets whether this host is the one that polls. */
    setPoller(isPoller: boolean): void {
        this.isPoller = isPoller;
    }

    /** Evaluates a configuration that a peer has in force; adopts it only if it is newer and valid. */
    offer(offered: OfferedConfiguration): Reconciliation["kind"] {
        const reconciliation = reconcileConfiguration(this.inForce, offered);
        this.metrics.count("arbutusdoor_configuration_offers_total", { result: reconciliation.kind });
        this.apply(reconciliation, offered);
        return reconciliation.kind;
    }

    /** Reads the head row once and adopts a newer version. Failures leave the version in force unchanged. */
    async poll(): Promise<void> {
        const reading = await readHead(this.table);
        this.metrics.count("arbutusdoor_configuration_polls_total", { result: reading.kind });
        this.recordTableState(reading.kind !== "unavailable");
        if (reading.kind === "malformed") {
            this.reportProblem("configurationRejected", reading.reason, 0);
        }
        if (reading.kind === "head") {
            await this.followHead(reading.head);
        }
    }

    /**
     * Submits a declaration that is based on a version. Never rejects; the outcome is accurate when it is returned.
     * A repeat with the same operation id gets the recorded outcome.
     */
    async submit(
        baseVersion: number,
        declarationJson: unknown,
        operationId: OperationId,
    ): Promise<SubmitOutcome> {
        const startedAt = this.clock.now();
        const outcome = await this.checkAndSubmit(baseVersion, declarationJson, operationId);
        const duration = (this.clock.now() - startedAt) * MICROSECONDS_PER_MS;
        this.metrics.record("arbutusdoor_configuration_submit_us", { outcome: outcome.kind }, duration);
        const version = outcome.kind === "accepted" ? outcome.version : undefined;
        const reason = "reason" in outcome ? outcome.reason : undefined;
        const fields = { operationId, baseVersion, outcome: outcome.kind, version, reason };
        this.logger.log("configurationSubmitted", fields);
        return outcome;
    }

    private async checkAndSubmit(
        baseVersion: number,
        declarationJson: unknown,
        operationId: OperationId,
    ): Promise<SubmitOutcome> {
        const check = checkDeclaration(declarationJson);
        if (check.kind === "invalid") {
            return { kind: "invalid", problems: [...check.problems] };
        }
        if (this.queue.size + this.queue.pending >= this.settings.maxPendingSubmissions) {
            return { kind: "notRun", reason: "too many submissions wait on this host" };
        }
        const next = createConfigurationVersion(baseVersion + 1, check.declaration);
        return this.queue.add(() => this.runSubmission({ operationId, baseVersion, next }));
    }

    private async runSubmission(submission: Submission): Promise<SubmitOutcome> {
        const run = new SubmissionRun(submission, this.options, () => this.inForce);
        const outcome = await run.run();
        if (outcome.kind === "accepted") {
            const accepted = { ...submission.next, version: outcome.version };
            this.apply(reconcileConfiguration(this.inForce, accepted), accepted);
        }
        return outcome;
    }

    private async followHead(head: ConfigurationHead | undefined): Promise<void> {
        const version = this.inForce?.version ?? 0;
        const headVersion = head?.version ?? 0;
        if (headVersion < version) {
            const reason = `the head row has version ${headVersion}`;
            this.reportProblem("configurationRolledBack", reason, version);
            return;
        }
        if (!head || (headVersion === version && head.digest === this.inForce?.digest)) {
            return;
        }
        if (headVersion === version) {
            this.reportProblem("configurationDiverged", `the head row has digest ${head.digest}`, version);
            return;
        }
        const fetched = await fetchBody(this.objects, head.digest);
        this.recordObjectStoreState(fetched.kind === "fetched");
        if (fetched.kind === "fetched") {
            const offered = { ...head, body: fetched.body };
            this.apply(reconcileConfiguration(this.inForce, offered), offered);
        }
    }

    private apply(reconciliation: Reconciliation, offered: OfferedConfiguration): void {
        switch (reconciliation.kind) {
            case "adopt":
                this.adopt(reconciliation.next);
                return;
            case "diverged": {
                const reason = `another digest was offered: ${offered.digest}`;
                this.reportProblem("configurationDiverged", reason, offered.version);
                return;
            }
            case "rejected":
                this.reportProblem("configurationRejected", reconciliation.reason, offered.version);
                return;
            case "same":
            case "older":
        }
    }

    private adopt(next: ConfigurationVersion): void {
        this.inForce = next;
        this.lastProblem = "";
        this.logger.log("configurationAdopted", { version: next.version, digest: next.digest });
        for (const listener of [...this.listeners]) {
            listener(next);
        }
    }

    private reportProblem(
        event: "configurationRejected" | "configurationDiverged" | "configurationRolledBack",
        reason: string,
        version: number,
    ): void {
        this.metrics.count("arbutusdoor_configuration_alarms_total", { event });
        const problem = `${event} ${version} ${reason}`;
        if (problem !== this.lastProblem) {
            this.lastProblem = problem;
            this.logger.log(event, { version, reason });
        }
    }

    private recordTableState(isAvailable: boolean): void {
        if (isAvailable !== this.isTableAvailable) {
            this.isTableAvailable = isAvailable;
            this.logger.log(isAvailable ? "tableRecovered" : "tableUnavailable", { reader: "configuration" });
        }
    }

    private recordObjectStoreState(isAvailable: boolean): void {
        if (!isAvailable && this.isObjectStoreAvailable) {
            this.logger.log("objectStoreUnavailable", { reader: "configuration" });
        }
        this.isObjectStoreAvailable = isAvailable;
    }

    private schedule(delay: number): void {
        this.timer = this.clock.schedule(delay, () => void this.tick());
    }

    private async tick(): Promise<void> {
        if (this.isPoller) {
            await this.poll();
        }
        if (this.isStarted) {
            const jitter = 1 + JITTER_SHARE * (this.random.nextFraction() - 1 / 2);
            this.schedule(this.settings.pollIntervalMs * jitter);
        }
    }
}
