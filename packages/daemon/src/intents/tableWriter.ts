import type { Row, TableService } from "@arbutusdoor/clients";
import type { Clock, Metrics, OperationId, RowKey, Timer } from "@arbutusdoor/common";
import PQueue from "p-queue";
import { classifyWrites } from "./classifyWrites.js";

/** One conditional write of a JSON object. */
type PendingWrite = {
    readonly key: RowKey;
    readonly expectedVersion: number;
    /** New value, to which the id of the write is added; `undefined` deletes the row. */
    readonly value: object | undefined;
};

/**
 * How a write ended: `committed`, `conflict` with the current row, `notRun` (it will not take effect) or `unknown` (it may
 * have taken effect, or may do so later).
 */
type WriteResult =
    | { readonly kind: "committed"; readonly row: Row; }
    | { readonly kind: "conflict"; readonly row: Row; }
    | { readonly kind: "notRun" | "unknown"; readonly reason: string; };

type Entry = {
    readonly write: PendingWrite;
    readonly resolve: (result: WriteResult) => void;
};

type TableWriterOptions = {
    readonly table: TableService;
    readonly clock: Clock;
    readonly metrics: Metrics;
    /** Prefix of the ids of writes; unique for each incarnation of a host. */
    readonly writer: string;
    readonly settings: {
        readonly batchSize: number;
        readonly batchWaitMs: number;
        readonly maxTransactions: number;
        readonly maxQueued: number;
        readonly attempts: number;
    };
};

/**
 * Batches single conditional writes into transactions (group commit). A conflict of one write does not fail the others, and
 * the rows of a transaction whose answer is lost are read back.
 */
export class TableWriter {
    private readonly options: TableWriterOptions;
    private readonly transactions: PQueue;
    private waiting: Entry[] = [];
    private timer: Timer | undefined;
    private operations = 0;

    constructor(options: TableWriterOptions) {
        this.options = options;
        this.transactions = new PQueue({ concurrency: options.settings.maxTransactions });
    }

    /** Number of writes that wait for a transaction. */
    get queuedSize(): number {
        return this.waiting.length;
    }

    /** Writes a row if it has the expected version. Never rejects. */
    write(write: PendingWrite): Promise<WriteResult> {
        const { batchSize, batchWaitMs, maxQueued } = this.options.settings;
        if (this.waiting.length >= maxQueued) {
            return Promise.resolve({ kind: "notRun", reason: "too many writes wait" });
        }
        return new Promise(resolve => {
            this.waiting.push({ write, resolve });
            if (this.waiting.length >= batchSize) {
                this.flush();
            }
            else {
                this.timer ??= this.options.clock.schedule(batchWaitMs, () => this.flush());
            }
        });
    }

    private flush(): void {
        this.timer?.cancel();
        this.timer = undefined;
        this.startTransactions();
    }

    private startTransactions(): void {
        const { maxTransactions } = this.options.settings;
        const hasRoom = () => this.transactions.pending + this.transactions.size < maxTransactions;
        while (this.waiting.length > 0 && hasRoom()) {
            const batch = this.takeBatch();
            void this.transactions.add(() => this.commit(batch)).then(() => this.startDelayedTransactions());
        }
    }

    /** Starts the writes that were waiting for a transaction to end, unless a batch is still being collected. */
    private startDelayedTransactions(): void {
        if (!this.timer) {
            this.startTransactions();
        }
    }

    /** Removes the next writes from the queue, at most one for each row. */
    private takeBatch(): Entry[] {
        const keys = new Set<RowKey>();
        const batch: Entry[] = [];
        const rest: Entry[] = [];
        for (const entry of this.waiting) {
            const hasRoom = batch.length < this.options.settings.batchSize;
            if (hasRoom && !keys.has(entry.write.key)) {
                keys.add(entry.write.key);
                batch.push(entry);
            }
            else {
                rest.push(entry);
            }
        }
        this.waiting = rest;
        return batch;
    }

    private async commit(batch: readonly Entry[]): Promise<void> {
        let open = batch;
        for (let attempt = 0; attempt < this.options.settings.attempts && open.length > 0; attempt++) {
            open = await this.attempt(open);
        }
        resolveAll(open, { kind: "unknown", reason: "the writes kept failing" });
    }

    /** Tries to write; returns the entries to retry. */
    private async attempt(entries: readonly Entry[]): Promise<readonly Entry[]> {
        const { table, metrics } = this.options;
        const operationId = this.createOperationId();
        const writes = entries.map(({ write }) => ({
            ...write,
            value: write.value && { ...write.value, operationId },
        }));
        metrics.record("arbutusdoor_intent_batch_size", {}, writes.length);
        const outcome = await table.transact({ operationId, writes });
        metrics.count("arbutusdoor_intent_transactions_total", { outcome: outcome.kind });
        switch (outcome.kind) {
            case "committed":
                entries.forEach(({ resolve }, index) =>
                    resolve({ kind: "committed", row: outcome.rows[index]! })
                );
                return [];
            case "conflict":
                return this.resolveRows(entries, outcome.rows, undefined);
            case "notRun":
                resolveAll(entries, outcome);
                return [];
            case "unknown":
                return this.readBack(entries, operationId, outcome.reason);
        }
    }

    private async readBack(
        entries: readonly Entry[],
        operationId: OperationId,
        reason: string,
    ): Promise<readonly Entry[]> {
        const read = await this.options.table.read(entries.map(({ write }) => write.key));
        if (read.kind === "unavailable") {
            resolveAll(entries, { kind: "unknown", reason });
            return [];
        }
        return this.resolveRows(entries, read.rows, operationId);
    }

    private resolveRows(
        entries: readonly Entry[],
        rows: readonly Row[],
        operationId: OperationId | undefined,
    ): readonly Entry[] {
        const kinds = classifyWrites(entries.map(({ write }) => write), rows, operationId);
        return entries.filter(({ resolve }, index) => {
            const kind = kinds[index]!;
            if (kind !== "open") {
                resolve({ kind, row: rows[index]! });
            }
            return kind === "open";
        });
    }

    private createOperationId(): OperationId {
        this.operations++;
        return `${this.options.writer}.intents.${this.operations}` as OperationId;
    }
}

function resolveAll(entries: readonly Entry[], result: WriteResult): void {
    entries.forEach(({ resolve }) => resolve(result));
}
