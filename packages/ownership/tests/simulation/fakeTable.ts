import type { Row, TableOutcome, TableRead, TableTransaction } from "@arbutusdoor/clients";
import type { ManualClock, OperationId, RandomSource, RowKey } from "@arbutusdoor/common";
import type { CommittedRow } from "./committedRow.js";

const UNKNOWN_AFTER_MS = 100;

/** Simulated table service of the platform, with fault switches. */
export class FakeTable {
    readonly journal: CommittedRow[] = [];
    isDown = false;
    slowness = 0;
    /** Called for each commit; true loses its answer. */
    losesAnswer: (transaction: TableTransaction) => boolean = () => false;
    /** Called for each transaction; a number above 0 delays its commit by so many ms, and its answer is lost. */
    holdsBack: (transaction: TableTransaction) => number = () => 0;
    private readonly rows = new Map<RowKey, Row>();

    constructor(private readonly clock: ManualClock, private readonly random: RandomSource) {}

    transact(transaction: TableTransaction, answer: (outcome: TableOutcome) => void): void {
        this.clock.schedule(this.getDelay(), () => {
            if (this.isDown) {
                answer({ kind: "notRun", reason: "down" });
                return;
            }
            const held = this.holdsBack(transaction);
            if (held > 0) {
                this.clock.schedule(held, () => this.commit(transaction));
                this.clock.schedule(UNKNOWN_AFTER_MS, () => answer({ kind: "unknown", reason: "timeout" }));
                return;
            }
            const outcome = this.commit(transaction);
            const isLost = outcome.kind === "committed" && this.losesAnswer(transaction);
            const told: TableOutcome = isLost ? { kind: "unknown", reason: "answer lost" } : outcome;
            this.clock.schedule(isLost ? UNKNOWN_AFTER_MS : this.getDelay(), () => answer(told));
        });
    }

    read(
        keys: readonly RowKey[] | undefined,
        prefix: string | undefined,
        answer: (read: TableRead) => void,
    ): void {
        this.clock.schedule(this.getDelay(), () => {
            const read = this.isDown
                ? { kind: "unavailable", reason: "down" } as const
                : { kind: "rows", rows: this.getRows(keys, prefix) } as const;
            this.clock.schedule(this.getDelay(), () => answer(read));
        });
    }

    /** Writes a row as an operator's tool would. */
    put(key: RowKey, value: unknown): void {
        const expectedVersion = this.getRow(key).version;
        this.commit({ operationId: "operator" as OperationId, writes: [{ key, expectedVersion, value }] });
    }

    getRow(key: RowKey): Row {
        return this.rows.get(key) ?? { key, version: 0, value: undefined };
    }

    private getRows(keys: readonly RowKey[] | undefined, prefix: string | undefined): readonly Row[] {
        return keys
            ? keys.map(key => this.getRow(key))
            : [...this.rows.values()].filter(row => row.key.startsWith(prefix ?? ""));
    }

    private commit({ operationId, writes }: TableTransaction): TableOutcome {
        const present = writes.map(write => this.getRow(write.key));
        if (writes.some((write, index) => present[index]!.version !== write.expectedVersion)) {
            return { kind: "conflict", rows: present };
        }
        const rows = writes.map(({ key, expectedVersion, value }) => ({
            key,
            version: expectedVersion + 1,
            value: JSON.parse(JSON.stringify(value)) as unknown,
        }));
        for (const row of rows) {
            this.rows.set(row.key, row);
            this.journal.push({ time: this.clock.now(), row, operationId });
        }
        return { kind: "committed", rows };
    }

    private getDelay(): number {
        return 2 + this.random.nextFraction() * 2 + this.slowness * this.random.nextFraction();
    }
}
