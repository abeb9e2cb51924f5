import type { Clock } from "@arbutusdoor/common";
import type { ServerResponse } from "node:http";
import * as z from "zod";
import { Journal } from "../common/journal.js";
import type { Place } from "../common/place.js";
import { readJson } from "../common/readJson.js";
import { sendJson } from "../common/sendJson.js";
import { StandIn } from "../common/standIn.js";
import type { StandInRequest } from "../common/standInRequest.js";
import { transactionSchema } from "./transactionSchema.js";

const MAX_KEYS = 10_000;
const readSchema = z.object({ keys: z.array(z.string().min(1)).max(MAX_KEYS) });

type Transaction = z.infer<typeof transactionSchema>;
type StoredRow = { readonly key: string; readonly version: number; readonly value?: unknown; };
type TableEntry = {
    readonly time: number;
    readonly operationId: string;
    readonly result: "committed" | "conflict";
    readonly rows: readonly StoredRow[];
};

/** In the place of the transactional table service: rows in memory, compare-and-set on their versions. */
export class TableStandIn extends StandIn {
    private readonly rows = new Map<string, StoredRow>();
    private readonly journal: Journal<TableEntry>;
    private readonly rowLimit: number;

    constructor(
        parts: { readonly clock: Clock; readonly journalLimit: number; readonly rowLimit: number; },
        place: Place,
    ) {
        super(parts.clock, place);
        this.journal = new Journal(parts.journalLimit);
        this.rowLimit = parts.rowLimit;
        this.app.post(
            "/transaction",
            this.withFaults((request, response) => this.transact(request, response)),
        );
        this.app.post("/read", this.withFaults((request, response) => this.read(request, response)));
        this.app.get("/scan", this.withFaults((request, response) => this.scan(request, response)));
    }

    override readJournal(): unknown {
        return { kind: "tableService", ...this.journal.read(), rowCount: this.rows.size };
    }

    private async transact(request: StandInRequest, response: ServerResponse): Promise<void> {
        const transaction = await readJson(request, transactionSchema);
        if (!transaction) {
            sendJson(response, 400, { error: "malformed transaction" });
            return;
        }
        if (this.rows.size + transaction.writes.length > this.rowLimit) {
            sendJson(response, 503, { error: "the table is full" });
            return;
        }
        const isMatching = transaction.writes.every(write =>
            this.getRow(write.key).version === write.expectedVersion
        );
        const result = isMatching ? "committed" : "conflict";
        if (isMatching) {
            this.apply(transaction);
        }
        const rows = transaction.writes.map(write => this.getRow(write.key));
        this.journal.add({
            time: this.clock.wallTime(),
            operationId: transaction.operationId,
            result,
            rows,
        });
        this.answerEffect(response, isMatching ? 200 : 409, { rows });
    }

    private apply(transaction: Transaction): void {
        for (const { key, expectedVersion, value } of transaction.writes) {
            if (value === undefined) {
                this.rows.delete(key);
            }
            else {
                this.rows.set(key, { key, version: expectedVersion + 1, value });
            }
        }
    }

    private async read(request: StandInRequest, response: ServerResponse): Promise<void> {
        const query = await readJson(request, readSchema);
        if (!query) {
            sendJson(response, 400, { error: "malformed read" });
            return;
        }
        sendJson(response, 200, { rows: query.keys.map(key => this.getRow(key)) });
    }

    private scan(request: StandInRequest, response: ServerResponse): void {
        const prefix = String(request.query.prefix ?? "");
        const rows = [...this.rows.values()].filter(row => row.key.startsWith(prefix));
        rows.sort((left, right) => left.key < right.key ? -1 : 1);
        sendJson(response, 200, { rows });
    }

    private getRow(key: string): StoredRow {
        return this.rows.get(key) ?? { key, version: 0 };
    }
}
