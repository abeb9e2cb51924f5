import { type TableOutcome, type TableRead, TableService, type TableTransaction } from "@arbutusdoor/clients";
import { Metrics, RandomSource, type RowKey, SystemClock } from "@arbutusdoor/common";
import { IntentSettings, TableWriter } from "@arbutusdoor/daemon";
import { scaleSizes } from "../measure/scaleSizes.js";
import { STUDIES } from "../studies.js";
import type { StudyOptions } from "../studyOptions.js";

const TABLE_MS = 5;
const DURATION_MS = 1_000;

/** A table that commits every transaction after a while, and counts them. */
class CountingTable extends TableService {
    transactions = 0;
    rows = 0;

    constructor(private readonly clock: SystemClock) {
        super();
    }

    override async read(): Promise<TableRead> {
        return { kind: "rows", rows: [] };
    }

    override async scan(): Promise<TableRead> {
        return { kind: "rows", rows: [] };
    }

    override async transact({ writes }: TableTransaction): Promise<TableOutcome> {
        this.transactions++;
        this.rows += writes.length;
        await this.clock.sleep(TABLE_MS);
        return {
            kind: "committed",
            rows: writes.map(({ key, expectedVersion, value }) => ({
                key,
                version: expectedVersion + 1,
                value,
            })),
        };
    }
}

STUDIES.register({
    name: "intents-by-rate",
    question:
        "Transactions of one host's group commit, against writes of intents a second; the table takes 5 ms.",
    axis: "writes/s",
    run: async options => {
        const rows: Readonly<Record<string, number>>[] = [];
        for (const rate of scaleSizes([25, 100, 400, 1_600, 6_400], options)) {
            rows.push(await measureRate(rate, options));
        }
        return rows;
    },
});

async function measureRate(rate: number, { seed }: StudyOptions): Promise<Readonly<Record<string, number>>> {
    const clock = new SystemClock();
    const random = new RandomSource(seed);
    const table = new CountingTable(clock);
    const settings = IntentSettings.parse({});
    const writer = new TableWriter({ table, clock, settings, writer: "host", metrics: new Metrics() });
    const writes = [...Array(rate).keys()].map(async number => {
        await clock.sleep(random.nextFraction() * DURATION_MS);
        const key = `intent/service/${number}` as RowKey;
        return writer.write({ key, expectedVersion: 0, value: { state: "begun" } });
    });
    const results = await Promise.all(writes);
    return {
        "writes/s": rate,
        "committed": results.filter(({ kind }) => kind === "committed").length,
        "transactions/s": table.transactions,
        "rows a transaction": table.rows / table.transactions,
    };
}
