import type { TableService } from "@arbutusdoor/clients";
import type { Clock, Metrics, RandomSource } from "@arbutusdoor/common";
import { createEndedRow } from "./createEndedRow.js";
import type { Intent } from "./intent.js";
import type { IntentOutcome } from "./intentOutcome.js";
import { IntentRow } from "./intentRow.js";
import type { IntentSettings } from "./intentSettings.js";
import type { TableWriter } from "./tableWriter.js";

type IntentSettlerOptions = {
    readonly clock: Clock;
    readonly table: TableService;
    readonly writer: TableWriter;
    readonly settings: IntentSettings;
    readonly random: RandomSource;
    readonly metrics: Metrics;
};

/**
 * State of the row of an ended intent: `open` (to be written over that version), `recorded`, `lost` (it belongs to another
 * request or holds another outcome) or `unavailable` (it could not be read or written).
 */
type Standing =
    | { readonly kind: "open"; readonly version: number; }
    | { readonly kind: "recorded" | "lost" | "unavailable"; };

const LEAST_PART = 0.5;

/** Records how the requests of intents ended; retries through outages and lost answers of the table service. */
export class OutcomeRecorder {
    private readonly options: IntentSettlerOptions;
    private retrying = 0;
    private readonly open = new Set<Promise<boolean>>();

    constructor(options: IntentSettlerOptions) {
        this.options = options;
    }

    /** Number of outcomes that are not recorded yet. */
    get size(): number {
        return this.open.size;
    }

    /** Records an outcome; resolves to whether it was recorded. */
    record(intent: Intent, outcome: IntentOutcome): Promise<boolean> {
        const settled = this.run(intent, outcome).then(isRecorded => {
            this.open.delete(settled);
            this.options.metrics.count("arbutusdoor_intents_ended_total", {
                service: intent.request.service,
                outcome: outcome.kind,
                recorded: String(isRecorded),
            });
            return isRecorded;
        });
        this.open.add(settled);
        return settled;
    }

    /** Resolves once all outcomes are recorded or given up. */
    async drain(): Promise<void> {
        while (this.open.size > 0) {
            await Promise.all(this.open);
        }
    }

    private async run(intent: Intent, outcome: IntentOutcome): Promise<boolean> {
        const { clock, settings } = this.options;
        const endAt = clock.now() + settings.settleTimeoutMs;
        const value = createEndedRow(intent, outcome);
        let standing = getFirstStanding(intent);
        for (let failures = 0;; failures++) {
            if (standing.kind === "open") {
                standing = await this.write(intent, value, standing.version);
            }
            if (standing.kind === "recorded" || standing.kind === "lost") {
                return standing.kind === "recorded";
            }
            const wait = this.getWait(failures);
            if (clock.now() + wait > endAt || this.retrying >= settings.maxSettling) {
                return false;
            }
            this.retrying++;
            await clock.sleep(wait);
            this.retrying--;
            standing = await this.look(intent, outcome);
        }
    }

    private async write(intent: Intent, value: object, version: number): Promise<Standing> {
        const result = await this.options.writer.write({ key: intent.key, expectedVersion: version, value });
        return { kind: result.kind === "committed" ? "recorded" : "unavailable" };
    }

    /** Reads the state of the row. An absent row is written too, so that a delayed write of the begun row conflicts. */
    private async look(intent: Intent, outcome: IntentOutcome): Promise<Standing> {
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

    private getWait(failures: number): number {
        const { settings, random } = this.options;
        const full = Math.min(
            settings.settleRetryMaxMs,
            settings.settleRetryMinMs * 2 ** Math.min(failures, 20),
        );
        return full * (LEAST_PART + (1 - LEAST_PART) * random.nextFraction());
    }
}

function getFirstStanding(intent: Intent): Standing {
    return intent.version === undefined ? { kind: "unavailable" } : { kind: "open", version: intent.version };
}

function getEndedKind(stored: IntentRow, outcome: IntentOutcome): "recorded" | "lost" {
    const state = outcome.kind === "notRun" ? "free" : outcome.kind;
    return stored.state === state ? "recorded" : "lost";
}
