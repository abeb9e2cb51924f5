import type { TableService } from "@arbutusdoor/clients";
import type { Clock, Metrics, RandomSource } from "@arbutusdoor/common";
import { createEndedRow } from "./createEndedRow.js";
import type { Intent } from "./intent.js";
import type { IntentOutcome } from "./intentOutcome.js";
import { IntentRow } from "./intentRow.js";
import type { IntentSettings } from "./intentSettings.js";
import type { TableWriter } from "./tableWriter.js";

type OutcomeRecorderOptions = {
    readonly clock: Clock;
    readonly table: TableService;
    readonly writer: TableWriter;
    readonly settings: IntentSettings;
    readonly random: RandomSource;
    readonly metrics: Metrics;
};

/**
 * State of the row of an ended intent: `open` (to be written over that version), `recorded`, `lost` (it belongs to another
 * request or holds another outcome) or `unavailable` (unknown, as it could not be written or read).
 */
type RowState =
    | { readonly kind: "open"; readonly version: number; }
    | { readonly kind: "recorded" | "lost" | "unavailable"; };

const MIN_BACKOFF_SHARE = 0.5;

/** Records how the requests of intents ended; retries through outages and lost answers of the table service. */
export class OutcomeRecorder {
    private readonly options: OutcomeRecorderOptions;
    private retrying = 0;
    private readonly pending = new Set<Promise<boolean>>();

    constructor(options: OutcomeRecorderOptions) {
        this.options = options;
    }

    /** Number of outcomes that are not recorded yet. */
    get size(): number {
        return this.pending.size;
    }

    /** Records an outcome; resolves to whether it was recorded. */
    record(intent: Intent, outcome: IntentOutcome): Promise<boolean> {
        const recording = this.run(intent, outcome).then(isRecorded => {
            this.pending.delete(recording);
            this.options.metrics.count("arbutusdoor_intents_ended_total", {
                service: intent.request.service,
                outcome: outcome.kind,
                recorded: String(isRecorded),
            });
            return isRecorded;
        });
        this.pending.add(recording);
        return recording;
    }

    /** Resolves once all outcomes are recorded or given up. */
    async drain(): Promise<void> {
        while (this.pending.size > 0) {
            await Promise.all(this.pending);
        }
    }

    private async run(intent: Intent, outcome: IntentOutcome): Promise<boolean> {
        const { clock, settings } = this.options;
        const endAt = clock.now() + settings.settleTimeoutMs;
        const value = createEndedRow(intent, outcome);
        let state = getInitialState(intent);
        for (let failures = 0;; failures++) {
            if (state.kind === "open") {
                state = await this.write(intent, value, state.version);
            }
            if (state.kind === "recorded" || state.kind === "lost") {
                return state.kind === "recorded";
            }
            const backoffMs = this.getBackoffMs(failures);
            if (clock.now() + backoffMs > endAt || this.retrying >= settings.maxSettling) {
                return false;
            }
            this.retrying++;
            await clock.sleep(backoffMs);
            this.retrying--;
            state = await this.readRowState(intent, outcome);
        }
    }

    private async write(intent: Intent, value: object, version: number): Promise<RowState> {
        const result = await this.options.writer.write({ key: intent.key, expectedVersion: version, value });
        return { kind: result.kind === "committed" ? "recorded" : "unavailable" };
    }

    /** Reads the state of the row. An absent row is written too, so that a delayed write of the begun row conflicts. */
    private async readRowState(intent: Intent, outcome: IntentOutcome): Promise<RowState> {
        const read = await this.options.table.read([intent.key]);
        if (read.kind === "unavailable") {
            return read;
        }
        const [row] = read.rows;
        if (!row || row.version === 0) {
            return { kind: "open", version: 0 };
        }
        const stored = IntentRow.safeParse(row.value);
        const isOwn = stored.success && stored.data.requestId === intent.request.requestId;
        if (!isOwn) {
            return { kind: "lost" };
        }
        const isEnded = stored.data.state !== "begun";
        return isEnded
            ? { kind: getEndedKind(stored.data, outcome) }
            : { kind: "open", version: row.version };
    }

    private getBackoffMs(failures: number): number {
        const { settings, random } = this.options;
        const full = Math.min(
            settings.settleRetryMaxMs,
            settings.settleRetryMinMs * 2 ** Math.min(failures, 20),
        );
        return full * (MIN_BACKOFF_SHARE + (1 - MIN_BACKOFF_SHARE) * random.nextFraction());
    }
}

function getInitialState(intent: Intent): RowState {
    return intent.version === undefined ? { kind: "unavailable" } : { kind: "open", version: intent.version };
}

function getEndedKind(stored: IntentRow, outcome: IntentOutcome): "recorded" | "lost" {
    const state = outcome.kind === "notRun" ? "free" : outcome.kind;
    return stored.state === state ? "recorded" : "lost";
}
