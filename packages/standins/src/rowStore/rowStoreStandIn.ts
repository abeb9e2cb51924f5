import type { Clock, Timer } from "@arbutusdoor/common";
import type { ServerResponse } from "node:http";
import { Journal } from "../common/journal.js";
import type { Place } from "../common/place.js";
import { readJson } from "../common/readJson.js";
import { sendJson } from "../common/sendJson.js";
import { StandIn } from "../common/standIn.js";
import type { StandInRequest } from "../common/standInRequest.js";
import { ForeignRow } from "./foreignRow.js";
import { RowTransaction } from "./rowTransaction.js";
import { StoreRestore } from "./storeRestore.js";

const MAX_WAIT_MS = 30_000;
const POLL_MS = 5;
const DEFAULT_LIMIT = 500;
/** How long copies are kept to go back to. */
const COPY_MS = 15_000;
/** An entry lapses after three heartbeats of a second. */
const RESTORED_LIFETIME_MS = 3_000;
const NOT_ALLOWED = new Set(["op", "servers"]);

type StoredRow = {
    readonly table: string;
    readonly part: string;
    readonly key: string;
    readonly ver: number;
    readonly value?: string;
    readonly deleted?: true;
};
type StoreCopy = {
    readonly at: number;
    readonly version: number;
    readonly rows: ReadonlyMap<string, StoredRow>;
};
type StoreEntry = { readonly time: number; readonly call: string; readonly status: number; };

/** In the place of the platform's metadata store: rows with versions of one counter, and feeds of their changes. */
export class RowStoreStandIn extends StandIn {
    private rows = new Map<string, StoredRow>();
    private copies: StoreCopy[] = [];
    /** Rises with each return from an older copy; stated in answers from the first one on. */
    private era = 0;
    private readonly journal: Journal<StoreEntry>;
    private readonly lapses = new Map<string, Timer>();
    private version = 1;
    /** Changes up to this version are no longer kept. */
    private forgotten = 0;

    constructor(parts: { readonly clock: Clock; readonly journalLimit: number; }, place: Place) {
        super(parts.clock, place);
        this.journal = new Journal(parts.journalLimit);
        const routes = [
            [
                "post",
                "/-/rows-tx",
                (request: StandInRequest, response: ServerResponse) => this.transact(request, response),
            ],
            [
                "get",
                "/-/rows-get",
                (request: StandInRequest, response: ServerResponse) => this.read(request, response),
            ],
            [
                "get",
                "/-/rows-feed",
                (request: StandInRequest, response: ServerResponse) => this.feed(request, response),
            ],
        ] as const;
        this.addControl("/rows", (request, response) => this.takeRow(request, response));
        this.addControl("/restore", (request, response) => this.takeRestore(request, response));
        for (const [method, path, handler] of routes) {
            this.app[method](path, this.withFaults(handler));
        }
    }

    override readJournal(): unknown {
        return { kind: "rowStore", ...this.journal.read(), version: this.version };
    }

    /** Writes a row as the operator or a server does; `undefined` deletes it. */
    put(table: string, key: string, value: string | undefined): void {
        this.version++;
        this.store(
            { table, part: "", key },
            value === undefined ? undefined : Buffer.from(value).toString("base64"),
        );
    }

    /**
     * Comes back from the newest copy that is at least `ageMs` old: later writes are gone, versions are given out again, and the era rises.
     * Entries of servers that do not write them again lapse.
     */
    restore(ageMs: number): void {
        const at = this.clock.now() - ageMs;
        const copy = this.copies.findLast(each => each.at <= at) ?? this.copies[0];
        this.rows = new Map(copy?.rows);
        this.version = copy?.version ?? 1;
        this.forgotten = 0;
        this.copies = copy ? [copy] : [];
        this.era++;
        for (const { deleted, key, table } of this.rows.values()) {
            if (table === "servers" && !deleted && !this.lapses.has(key)) {
                this.lapses.set(
                    key,
                    this.clock.schedule(RESTORED_LIFETIME_MS, () => this.put(table, key, undefined)),
                );
            }
        }
    }

    override async stop(): Promise<void> {
        this.cancelLapses();
        await super.stop();
    }

    override async kill(): Promise<void> {
        this.cancelLapses();
        await super.kill();
    }

    /** Drops the history: feeds that ask for changes up to now are told so. */
    compact(): void {
        this.forgotten = this.version;
        for (const [name, row] of this.rows) {
            if (row.deleted) {
                this.rows.delete(name);
            }
        }
    }

    /** Takes a row of the operator or of a server, which lapses unless it is written again in time. */
    private async takeRow(request: StandInRequest, response: ServerResponse): Promise<void> {
        const row = await readJson(request, ForeignRow);
        if (!row) {
            sendJson(response, 400, { error: "malformed row" });
            return;
        }
        const { key, lifetimeMs, table, value } = row;
        this.lapses.get(key)?.cancel();
        this.lapses.delete(key);
        this.put(table, key, value);
        if (value !== undefined && lifetimeMs !== undefined) {
            const lapse = this.clock.schedule(lifetimeMs, () => {
                this.lapses.delete(key);
                this.put(table, key, undefined);
            });
            this.lapses.set(key, lapse);
        }
        sendJson(response, 200, {});
    }

    private async takeRestore(request: StandInRequest, response: ServerResponse): Promise<void> {
        const restore = await readJson(request, StoreRestore);
        if (!restore) {
            sendJson(response, 400, { error: "malformed restore" });
            return;
        }
        this.restore(restore.ageMs);
        sendJson(response, 200, {});
    }

    private cancelLapses(): void {
        this.lapses.forEach(lapse => lapse.cancel());
    }

    private async transact(request: StandInRequest, response: ServerResponse): Promise<void> {
        const transaction = await readJson(request, RowTransaction);
        if (!transaction) {
            this.answer(response, "rows-tx", 400, { error: "malformed transaction" });
            return;
        }
        const writes = [...transaction["set-keys"], ...transaction.remove];
        if (writes.some(({ table }) => NOT_ALLOWED.has(table))) {
            this.answer(response, "rows-tx", 403, { error: "this table belongs to others" });
            return;
        }
        await this.delayEffect(response);
        const isMatching = transaction["expected-rev"].every(row => this.getVersion(row) === row.ver);
        if (isMatching) {
            this.version++;
            transaction["set-keys"].forEach(row => this.store(row, row.value));
            transaction.remove.forEach(row => this.store(row, undefined));
        }
        const status = isMatching ? 200 : 412;
        this.journal.add({ time: this.clock.wallTime(), call: "rows-tx", status });
        this.answerEffect(response, status, this.newReply({}), this.getEraHeader());
    }

    private read(request: StandInRequest, response: ServerResponse): void {
        const { from = "", limit = String(DEFAULT_LIMIT), table, target } = request.query as Record<
            string,
            string
        >;
        const rows = [...this.rows.values()]
            .filter(row => row.table === table && !row.deleted && row.key >= from)
            .filter(row => target === undefined || row.key < target)
            .sort((one, other) => one.key < other.key ? -1 : 1);
        const page = rows.slice(0, Number(limit));
        this.answer(
            response,
            "rows-get",
            200,
            this.newReply({ rows: page, "has-more": page.length < rows.length }),
        );
    }

    private async feed(request: StandInRequest, response: ServerResponse): Promise<void> {
        const { after, table, "wait-ms": wait = "0" } = request.query as Record<string, string>;
        const { era } = this;
        const isLost = () =>
            Number(after) < this.forgotten || Number(after) > this.version || era !== this.era;
        if (isLost()) {
            this.answer(response, "rows-feed", 410, { error: "history is gone" });
            return;
        }
        const end = this.clock.now() + Math.min(MAX_WAIT_MS, Number(wait));
        let rows = this.listChanges(table, Number(after));
        while (rows.length === 0 && this.clock.now() < end && !response.destroyed) {
            await this.clock.sleep(POLL_MS);
            rows = this.listChanges(table, Number(after));
        }
        if (isLost()) {
            this.answer(response, "rows-feed", 410, { error: "the store was restored" });
            return;
        }
        this.answer(response, "rows-feed", 200, this.newReply({ rows }));
    }

    private listChanges(table: string | undefined, after: number): readonly StoredRow[] {
        return [...this.rows.values()]
            .filter(row => row.table === table && row.ver > after)
            .sort((one, other) => one.ver - other.ver);
    }

    private store(row: { table: string; part: string; key: string; }, value: string | undefined): void {
        const { key, part, table } = row;
        const common = { table, part, key, ver: this.version };
        this.rows.set(
            getName(row),
            value === undefined ? { ...common, deleted: true } : { ...common, value },
        );
        const now = this.clock.now();
        this.copies = this.copies.filter(({ at }) => at >= now - COPY_MS);
        this.copies.push({ at: now, version: this.version, rows: new Map(this.rows) });
    }

    private getVersion(row: { table: string; part: string; key: string; }): number {
        const stored = this.rows.get(getName(row));
        return !stored || stored.deleted ? 0 : stored.ver;
    }

    private newReply(parts: object): object {
        return { ...parts, ver: this.version, now: `${Math.round(this.clock.now())}ms` };
    }

    private answer(response: ServerResponse, call: string, status: number, value: object): void {
        this.journal.add({ time: this.clock.wallTime(), call, status });
        sendJson(response, status, value, this.getEraHeader());
    }

    private getEraHeader(): Readonly<Record<string, string>> {
        return this.era > 0 ? { "store-era": String(this.era) } : {};
    }
}

function getName({ key, part, table }: { table: string; part: string; key: string; }): string {
    return [table, part, key].join("\n");
}
