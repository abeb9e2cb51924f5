import type { TableTransaction } from "@arbutusdoor/clients";
import {
    type ClassId,
    type Digest,
    Logger,
    ManualClock,
    Metrics,
    RandomSource,
    type RequestId,
    type ServiceId,
} from "@arbutusdoor/common";
import { getFingerprint } from "../../src/intents/getFingerprint.js";
import type { Intent } from "../../src/intents/intent.js";
import type { IntentOutcome } from "../../src/intents/intentOutcome.js";
import type { IntentRequest } from "../../src/intents/intentRequest.js";
import { IntentSettings } from "../../src/intents/intentSettings.js";
import { IntentStore } from "../../src/intents/intentStore.js";
import { MemoryTable } from "./memoryTable.js";

type RequestOptions = {
    readonly name?: string;
    readonly body?: string;
    readonly outage?: "refuse" | "serve";
    readonly deadline?: number;
};

const SETTLE_TURNS = 3;

/** Entry hosts that share a table, on a manual clock; records events in order. */
export class IntentSimulation {
    readonly clock = new ManualClock(1_000);
    readonly table = new MemoryTable();
    readonly settings: IntentSettings;
    private readonly lines: string[] = [];
    private requests = 0;

    constructor(settings: Partial<IntentSettings> = {}) {
        this.settings = IntentSettings.parse(settings);
        this.table.onTransaction = (transaction, result) => this.record(describe(transaction, result));
    }

    get trace(): string {
        return `${this.lines.join("\n")}\n`;
    }

    record(line: string): void {
        this.lines.push(`${String(this.clock.now()).padStart(6)} ${line}`);
    }

    createStore(host: string): IntentStore {
        return new IntentStore({
            clock: this.clock,
            table: this.table,
            settings: this.settings,
            random: new RandomSource(1),
            metrics: new Metrics(),
            logger: new Logger(this.clock, host, "silent"),
            writer: host,
        });
    }

    createRequest(host: string, options: RequestOptions = {}): IntentRequest {
        this.requests++;
        return {
            requestId: `${host}-${this.requests}` as RequestId,
            tenant: "lima",
            service: "reservas" as ServiceId,
            classId: "deposit" as ClassId,
            key: "booking-1",
            idempotencyKey: options.name ?? "deposit-1",
            fingerprint: getFingerprint("POST", "/deposit", Buffer.from(options.body ?? "40 soles")),
            deadline: options.deadline ?? 2_000,
            outage: options.outage ?? "refuse",
        };
    }

    /** Begins an intent and records the result; resolves to the intent if the request may be sent. */
    async begin(
        host: string,
        store: IntentStore,
        options: RequestOptions = {},
    ): Promise<Intent | undefined> {
        const request = this.createRequest(host, options);
        const beginning = await store.begin(request);
        switch (beginning.kind) {
            case "proceed":
                this.record(`${request.requestId}: may be sent`);
                return beginning.intent;
            case "recorded":
                this.record(`${request.requestId}: recorded answer ${beginning.answer.status}`);
                return undefined;
            case "refusal":
                this.record(`${request.requestId}: ${beginning.refusal.outcome} ${beginning.refusal.reason}`);
                return undefined;
        }
    }

    /** Creates an outcome with an answer. */
    createAnswered(body: string | undefined = "paid"): IntentOutcome {
        const fields = body === undefined ? {} : { body: Buffer.from(body).toString("base64") };
        return { kind: "answered", answer: { status: 201, headers: {}, digest: "00" as Digest, ...fields } };
    }

    async advance(duration: number, step = 1): Promise<void> {
        for (let passed = 0; passed < duration; passed += step) {
            this.clock.advance(step);
            await this.flush();
        }
    }

    async flush(): Promise<void> {
        for (let turn = 0; turn < SETTLE_TURNS; turn++) {
            await new Promise(resolve => setImmediate(resolve));
        }
    }
}

function describe({ writes }: TableTransaction, result: string): string {
    const described = writes.map(({ value, expectedVersion }) => {
        const { state, requestId } = (value ?? {}) as { state?: string; requestId?: string; };
        return value === undefined
            ? `delete at ${expectedVersion}`
            : `${state} by ${requestId} at ${expectedVersion}`;
    });
    return `table: ${described.join(", ")}: ${result}`;
}
