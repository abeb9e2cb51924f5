import type { Row, TableService } from "@arbutusdoor/clients";
import {
    type Clock,
    createRefusal,
    type Logger,
    type Metrics,
    type RandomSource,
    type RefusalReason,
} from "@arbutusdoor/common";
import { createBegunRow } from "./createBegunRow.js";
import { getIntentKey } from "./getIntentKey.js";
import type { Intent } from "./intent.js";
import type { IntentBeginning } from "./intentBeginning.js";
import type { IntentOutcome } from "./intentOutcome.js";
import type { IntentRequest } from "./intentRequest.js";
import type { IntentSettings } from "./intentSettings.js";
import { OutcomeRecorder } from "./outcomeRecorder.js";
import { reconcileIntent } from "./reconcileIntent.js";
import { TableAvailability } from "./tableAvailability.js";
import { TableWriter } from "./tableWriter.js";

type IntentStoreOptions = {
    readonly clock: Clock;
    readonly table: TableService;
    readonly settings: IntentSettings;
    readonly random: RandomSource;
    readonly metrics: Metrics;
    readonly logger: Logger;
    /** Identifies this incarnation of the host. */
    readonly writer: string;
};

const MICROSECONDS_PER_MS = 1_000;

/** Stores intents so that once-only work does not run twice, whichever entry host a caller sends a repeat to. */
export class IntentStore {
    private readonly options: IntentStoreOptions;
    private readonly writer: TableWriter;
    private readonly recorder: OutcomeRecorder;
    private readonly availability: TableAvailability;

    constructor(options: IntentStoreOptions) {
        this.options = options;
        this.writer = new TableWriter(options);
        this.recorder = new OutcomeRecorder({ ...options, writer: this.writer });
        this.availability = new TableAvailability(options.logger);
        options.metrics.gauge("arbutusdoor_intent_writes_queued", () => this.writer.queuedSize);
        options.metrics.gauge("arbutusdoor_intents_settling", () => this.recorder.size);
    }

    /** Records the intent before the request is sent. Never rejects; after a refusal `notRun` the request has not run. */
    async begin(request: IntentRequest): Promise<IntentBeginning> {
        const beganAt = this.options.clock.now();
        const beginning = await this.tryToBegin(request);
        const duration = this.options.clock.now() - beganAt;
        const labels = { service: request.service, class: request.classId };
        const outcome = beginning.kind === "refusal" ? beginning.refusal.reason : beginning.kind;
        this.options.metrics.count("arbutusdoor_intents_total", { ...labels, outcome });
        this.options.metrics.record("arbutusdoor_intent_begin_us", labels, duration * MICROSECONDS_PER_MS);
        return beginning;
    }

    /**
     * Records how the request ended; retried up to `settleTimeoutMs` while the table service is unavailable.
     * Resolves to whether it was recorded. If not, a repeat of the request is refused with an unknown outcome.
     */
    finish(intent: Intent, outcome: IntentOutcome): Promise<boolean> {
        return this.recorder.record(intent, outcome);
    }

    /** Resolves once all outcomes of intents are recorded or given up. */
    drain(): Promise<void> {
        return this.recorder.drain();
    }

    private async tryToBegin(request: IntentRequest): Promise<IntentBeginning> {
        const { clock, settings } = this.options;
        const key = getIntentKey(request);
        const begun = createBegunRow(request, clock.wallTime(), settings.retentionMs);
        const intent: Intent = { request, key, begun, version: undefined };
        let expectedVersion = 0;
        for (let attempt = 0; attempt < settings.attempts; attempt++) {
            const result = await this.writer.write({ key, expectedVersion, value: begun });
            this.availability.recordResult(result.kind);
            switch (result.kind) {
                case "committed":
                    return proceed(intent, result.row.version);
                case "notRun":
                    return this.beginWithoutStore(intent);
                case "unknown":
                    return this.beginUncertain(intent);
                case "conflict":
                    break;
            }
            const decision = this.reconcile(result.row, request);
            switch (decision.kind) {
                case "take":
                    expectedVersion = decision.version;
                    break;
                case "own":
                    return proceed(intent, decision.version);
                case "recorded":
                case "refusal":
                    return decision;
            }
        }
        return refuse("repeatInProgress", "other requests under this idempotency key come at the same time");
    }

    private reconcile(row: Row, request: IntentRequest): ReturnType<typeof reconcileIntent> {
        return reconcileIntent(row, request, this.options.clock.wallTime(), this.options.settings.marginMs);
    }

    private beginWithoutStore(intent: Intent): IntentBeginning {
        if (intent.request.outage === "serve") {
            return { kind: "proceed", intent };
        }
        return refuse("intentStoreUnavailable", "the record of once-only work cannot be written");
    }

    /** The begun row may have been written, or may be written later. If the request is not sent, the row must say so. */
    private beginUncertain(intent: Intent): IntentBeginning {
        const beginning = this.beginWithoutStore(intent);
        if (beginning.kind === "refusal") {
            void this.recorder.record(intent, { kind: "notRun" });
        }
        return beginning;
    }
}

function proceed(intent: Intent, version: number): IntentBeginning {
    return { kind: "proceed", intent: { ...intent, version } };
}

function refuse(reason: RefusalReason, detail: string): IntentBeginning {
    return { kind: "refusal", refusal: createRefusal(reason, detail) };
}
