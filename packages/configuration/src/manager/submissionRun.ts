import { diffDeclarations } from "../change/diffDeclarations.js";
import type { ConfigurationVersion } from "../configurationVersion.js";
import { fetchBody } from "../store/fetchBody.js";
import { getBodyName } from "../store/getBodyName.js";
import { readStored } from "../store/readStored.js";
import { getBackoffMs } from "./getBackoffMs.js";
import { planSubmission } from "./planSubmission.js";
import { readBody } from "./readBody.js";
import type { Submission } from "./submission.js";
import type { SubmissionPlan } from "./submissionPlan.js";
import type { SubmissionPorts } from "./submissionPorts.js";
import type { SubmitOutcome } from "./submitOutcome.js";

type Step = SubmitOutcome | { readonly kind: "again"; readonly reason: string; };

/**
 * Runs one submission until its outcome: stores the text, then writes the rows conditionally. Each attempt reads the rows
 * again, so that a write whose answer was lost is found by its operation id before an outcome is returned.
 */
export class SubmissionRun {
    private readonly submission: Submission;
    private readonly ports: SubmissionPorts;
    private readonly getInForce: () => ConfigurationVersion | undefined;
    private isBodyStored = false;
    private mayHaveRun = false;

    /** @param getInForce the version in force on this host, read at each attempt */
    constructor(
        submission: Submission,
        ports: SubmissionPorts,
        getInForce: () => ConfigurationVersion | undefined,
    ) {
        this.submission = submission;
        this.ports = ports;
        this.getInForce = getInForce;
    }

    /** Ends after the configured number of attempts at the latest; the last step is always a read of the rows. */
    async run(): Promise<SubmitOutcome> {
        const { attempts } = this.ports.settings;
        let reason = "";
        for (let attempt = 0; attempt <= attempts; attempt++) {
            if (attempt > 0) {
                await this.ports.clock.sleep(getBackoffMs(attempt, this.ports.settings, this.ports.random));
            }
            const mayWrite = attempt < attempts;
            const step = await this.attempt(mayWrite);
            if (step.kind !== "again") {
                return step;
            }
            reason = mayWrite ? step.reason : reason;
        }
        return { kind: this.mayHaveRun ? "unknown" : "notRun", reason };
    }

    private async attempt(mayWrite: boolean): Promise<Step> {
        const read = await readStored(this.ports.table);
        if (read.kind !== "stored") {
            return { kind: "again", reason: `the table service gave no usable answer: ${read.reason}` };
        }
        const version = this.getInForce()?.version ?? 0;
        const plan = planSubmission(
            this.submission,
            read.stored,
            version,
            this.ports.settings.historyLength,
        );
        if (plan.kind === "write") {
            return mayWrite ? this.write(plan) : { kind: "again", reason: "no attempts are left" };
        }
        return this.answer(plan, read.stored.head?.digest);
    }

    private async answer(
        plan: Exclude<SubmissionPlan, { kind: "write"; }>,
        headDigest: ConfigurationVersion["digest"] | undefined,
    ): Promise<SubmitOutcome> {
        switch (plan.kind) {
            case "recorded":
                return { kind: "accepted", version: plan.version };
            case "reused": {
                const message = "was used for another declaration";
                return { kind: "invalid", problems: [{ path: "operationId", message }] };
            }
            case "conflict": {
                const { currentVersion } = plan;
                if (this.mayHaveRun && !plan.isCovered) {
                    return { kind: "unknown", reason: "the history no longer shows whether it was accepted" };
                }
                return {
                    kind: "conflict",
                    currentVersion,
                    differences: await this.getDifferences(currentVersion, headDigest),
                };
            }
        }
    }

    private async write({ transaction }: Extract<SubmissionPlan, { kind: "write"; }>): Promise<Step> {
        const failure = await this.storeBody();
        if (failure !== undefined) {
            return { kind: "again", reason: `the object store did not take the declaration: ${failure}` };
        }
        const outcome = await this.ports.table.transact(transaction);
        switch (outcome.kind) {
            case "committed":
                return { kind: "accepted", version: this.submission.next.version };
            case "conflict":
                return { kind: "again", reason: "other writes were faster" };
            case "notRun":
                return { kind: "again", reason: `the table service took no write: ${outcome.reason}` };
            case "unknown":
                this.mayHaveRun = true;
                return { kind: "again", reason: `the table service gave no answer: ${outcome.reason}` };
        }
    }

    private async storeBody(): Promise<string | undefined> {
        if (this.isBodyStored) {
            return undefined;
        }
        const { digest, body } = this.submission.next;
        const outcome = await this.ports.objects.put(getBodyName(digest), new TextEncoder().encode(body));
        if (outcome.kind !== "stored") {
            return outcome.reason;
        }
        this.isBodyStored = true;
        return undefined;
    }

    private async getDifferences(
        currentVersion: number,
        headDigest: ConfigurationVersion["digest"] | undefined,
    ): Promise<ReturnType<typeof diffDeclarations> | undefined> {
        const { declaration } = this.submission.next;
        const inForce = this.getInForce();
        if (inForce && inForce.version === currentVersion) {
            return diffDeclarations(inForce.declaration, declaration);
        }
        if (!headDigest) {
            return undefined;
        }
        const fetched = await fetchBody(this.ports.objects, headDigest);
        if (fetched.kind === "unavailable") {
            return undefined;
        }
        const read = readBody(fetched.body, headDigest);
        return read.kind === "declaration" ? diffDeclarations(read.declaration, declaration) : undefined;
    }
}
