import type { RowKey } from "@arbutusdoor/common";
import * as z from "zod";
import type { AdapterOptions } from "../http/adapterOptions.js";
import type { HttpAnswer } from "../http/httpAnswer.js";
import { HttpClient } from "../http/httpClient.js";
import type { HttpLimits } from "../http/httpLimits.js";
import { parseJson } from "../http/parseJson.js";
import type { Row } from "./row.js";
import type { TableOutcome } from "./tableOutcome.js";
import type { TableRead } from "./tableRead.js";
import { TableService } from "./tableService.js";
import type { TableTransaction } from "./tableTransaction.js";

const OK_STATUS = 200;
const CONFLICT_STATUS = 409;
const NOT_RUN_STATUSES: readonly number[] = [429, 503];
const JSON_HEADERS = { "content-type": "application/json" };

const rowSchema = z.object({
    key: z.string().transform(key => key as RowKey),
    version: z.int().min(0),
    value: z.unknown().optional(),
}).transform((row): Row => ({ key: row.key, version: row.version, value: row.value }));

const rowsSchema = z.object({ rows: z.array(rowSchema) });

/** Options of the table adapter; reads and writes have separate limits. */
type TableOptions = Omit<AdapterOptions, "limits"> & {
    readonly readLimits: HttpLimits;
    readonly writeLimits: HttpLimits;
};

/**
 * Accesses the table service over HTTP.
 *
 * - `POST /transaction` with `{operationId, writes: [{key, expectedVersion, value?}]}`: 200 `{rows}` as written, 409 `{rows}` as stored.
 *   A write without `value` deletes the row.
 * - `POST /read` with `{keys}`: 200 `{rows}`, one for each key; an absent row has version 0 and no value.
 * - `GET /scan?prefix=`: 200 `{rows}` in order of key.
 * - 429 and 503 mean that the call was not accepted.
 *
 * A refused connection, or a call that never got a connection, is not run. A transaction whose answer is late, truncated
 * or malformed is unknown.
 */
export class HttpTableService extends TableService {
    private readonly reads: HttpClient;
    private readonly writes: HttpClient;

    constructor(baseUrl: string, options: TableOptions) {
        super();
        const { clock, metrics, readLimits, writeLimits } = options;
        this.reads = new HttpClient({ name: "table-read", baseUrl, clock, metrics, limits: readLimits });
        this.writes = new HttpClient({ name: "table-write", baseUrl, clock, metrics, limits: writeLimits });
    }

    override async read(keys: readonly RowKey[]): Promise<TableRead> {
        const body = encode({ keys });
        const answer = await this.reads.call({ method: "POST", path: "/read", headers: JSON_HEADERS, body });
        return getRead(answer, rows => haveKeys(rows, keys));
    }

    override async scan(prefix: string): Promise<TableRead> {
        const path = `/scan?prefix=${encodeURIComponent(prefix)}`;
        const answer = await this.reads.call({ method: "GET", path });
        return getRead(answer, rows => rows.every(row => row.key.startsWith(prefix)));
    }

    override async transact(transaction: TableTransaction): Promise<TableOutcome> {
        const body = encode(transaction);
        const answer = await this.writes.call({
            method: "POST",
            path: "/transaction",
            headers: JSON_HEADERS,
            body,
        });
        return getOutcome(answer, transaction.writes.map(write => write.key));
    }

    /** Closes the connections once calls in progress have ended. */
    async close(): Promise<void> {
        await Promise.all([this.reads.close(), this.writes.close()]);
    }
}

function encode(value: unknown): Uint8Array {
    return Buffer.from(JSON.stringify(value));
}

function haveKeys(rows: readonly Row[], keys: readonly RowKey[]): boolean {
    return rows.length === keys.length && rows.every((row, index) => row.key === keys[index]);
}

function getRead(answer: HttpAnswer, isExpected: (rows: readonly Row[]) => boolean): TableRead {
    if (answer.kind !== "answer") {
        return { kind: "unavailable", reason: answer.reason };
    }
    if (answer.status !== OK_STATUS) {
        return { kind: "unavailable", reason: `status ${answer.status}` };
    }
    const rows = parseJson(answer.bytes, rowsSchema)?.rows;
    return rows && isExpected(rows)
        ? { kind: "rows", rows }
        : { kind: "unavailable", reason: "the answer is malformed" };
}

function getOutcome(answer: HttpAnswer, keys: readonly RowKey[]): TableOutcome {
    if (answer.kind !== "answer") {
        return answer;
    }
    const { status, bytes } = answer;
    if (NOT_RUN_STATUSES.includes(status)) {
        return { kind: "notRun", reason: `status ${status}` };
    }
    if (status !== OK_STATUS && status !== CONFLICT_STATUS) {
        return { kind: "unknown", reason: `status ${status}` };
    }
    const rows = parseJson(bytes, rowsSchema)?.rows;
    if (!rows || !haveKeys(rows, keys)) {
        return { kind: "unknown", reason: "the answer is malformed" };
    }
    return { kind: status === OK_STATUS ? "committed" : "conflict", rows };
}
