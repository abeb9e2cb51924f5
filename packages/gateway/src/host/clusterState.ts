import type { Clock, Logger, Metrics, Milliseconds } from "@arbutusdoor/common";
import type { OperatorEntry } from "../configuration/operatorEntry.js";
import type { RoutedConfiguration } from "../configuration/routedConfiguration.js";
import { RouteTable } from "../configuration/routeTable.js";
import { Evacuations } from "../discovery/evacuations.js";
import type { RegisteredServer } from "../discovery/registeredServer.js";
import { ServerDirectory } from "../discovery/serverDirectory.js";
import type { CoordinatorMessage } from "../links/coordinatorMessage.js";
import type { KnownVersions } from "../links/knownVersions.js";
import type { TableName } from "../links/tableName.js";
import { decodeKeyMap } from "../ownership/decodeKeyMap.js";
import { encodeKeyMap } from "../ownership/encodeKeyMap.js";
import type { KeyMap } from "../ownership/keyMap.js";
import { listDifferences } from "../ownership/listDifferences.js";
import { MapHistory } from "../ownership/mapHistory.js";
import { patchKeyMap } from "../ownership/patchKeyMap.js";
import { RowChangeFilter } from "../store/rowChangeFilter.js";
import type { RowsOrigin } from "../store/rowsOrigin.js";
import { StoreClock } from "../store/storeClock.js";
import { StoreEra } from "../store/storeEra.js";
import { TableView } from "../store/tableView.js";
import type { WatchedRow } from "../store/watchedRow.js";
import { createKeysMessage } from "./createKeysMessage.js";
import { EntryLog } from "./entryLog.js";

const TABLES: readonly TableName[] = ["configuration", "servers"];
const MICROSECONDS_PER_MS = 1_000;

type RowsMessage = Extract<CoordinatorMessage, { kind: "rows"; }>;
type KeysMessage = Extract<CoordinatorMessage, { kind: "keys"; }>;

/** What a host knows of the tables: the operator's configuration, the registered servers and the owners of keys. */
export class ClusterState {
    readonly storeClock: StoreClock;
    readonly era = new StoreEra();
    readonly configuration: TableView<OperatorEntry>;
    readonly servers: TableView<RegisteredServer>;
    readonly keys = new TableView<KeyMap>();
    readonly directory: ServerDirectory;
    readonly evacuations: Evacuations;
    private readonly maps = new MapHistory();
    /** The latest versions of tables that hosts knew when they linked: they may have seen rows that this host has not. */
    private readonly latestKnown = new Map<TableName, number>();
    private readonly logger: Logger;
    private readonly metrics: Metrics;
    private table: RouteTable | undefined;
    private readonly listeners = new Set<(routes: RouteTable) => void>();

    constructor(clock: Clock, logger: Logger, metrics: Metrics) {
        this.logger = logger;
        this.metrics = metrics;
        this.storeClock = new StoreClock(clock);
        this.configuration = new TableView(this.storeClock);
        this.servers = new TableView(this.storeClock);
        this.directory = new ServerDirectory(this.servers, clock);
        this.evacuations = new Evacuations(this.configuration, clock, logger);
        this.era.onRise((era, before) => this.beginEra(era, before));
        metrics.gauge("arbutusdoor_store_era", () => this.era.current);
        this.keys.onChange(rows => rows.forEach(row => this.maps.record(row)));
        this.configuration.onChange((changed, origin) =>
            changed.forEach(row => this.handleConfiguration(row, origin))
        );
        const entries = new EntryLog(logger, origin => this.recordNews("servers", origin));
        this.servers.onChange((changed, origin) => changed.forEach(row => entries.record(row, origin)));
        this.directory.onAnnouncement(({ id }, source) => {
            metrics.count("arbutusdoor_server_announcements_total", { source });
            logger.log("serverLeaving", { server: id, state: "said so itself", source, maxAgeMs: 0 });
        });
        for (const table of TABLES) {
            metrics.gauge(`arbutusdoor_${table}_age_ms`, () => Math.round(this.getTableAge(table)));
        }
    }

    /** The routes in effect, or `undefined` before a configuration is known. */
    get routes(): RouteTable | undefined {
        return this.table;
    }

    /** Returns the time since a table was known to be complete; infinite before its first read. */
    getTableAge(table: TableName): Milliseconds {
        const { completeTime } = this.getView(table);
        return completeTime === undefined ? Infinity : this.storeClock.getAge(completeTime) ?? Infinity;
    }

    /** Returns the store time up to which each table is known to be complete. */
    getCompleteTimes(): Partial<Record<TableName, Milliseconds>> {
        return Object.fromEntries(TABLES.map(table => [table, this.getView(table).completeTime]));
    }

    /** Returns the version of the store up to which each table is known; tables that have not been read are left out. */
    getTableVersions(): Partial<Record<TableName, number>> {
        const known = TABLES.filter(table =>
            this.getView(table).asOf >= 0 && !this.getView(table).isOutdated
        );
        return Object.fromEntries(known.map(table => [table, this.getView(table).asOf]));
    }

    /** Calls the listener with each configuration that takes effect. */
    onRoutes(listener: (routes: RouteTable) => void): void {
        this.listeners.add(listener);
    }

    /** Applies rows from the coordinator. Returns false when it does not know rows that the coordinator takes it to know. */
    handleRows(
        { after, asOf, changedAfter, completeAt, era, isAfterOutage = false, knownKeys = [], rows, table }:
            RowsMessage,
    ): boolean {
        if (!this.era.record(era)) {
            return true;
        }
        const view = this.getView(table);
        const typed = rows as readonly WatchedRow<never>[];
        const origin: RowsOrigin = { source: "coordinator", changedAfter, completeAt, isAfterOutage, era };
        if (after !== undefined && view.isOutdated) {
            return false;
        }
        if (after !== undefined && view.applyChanges(after, typed, asOf, origin)) {
            return true;
        }
        const known = knownKeys.flatMap(key => (view.isKnown(key) ? view.present.get(key) : undefined) ?? []);
        if (known.length < knownKeys.length && asOf >= view.asOf) {
            return false;
        }
        view.applySnapshot([...known, ...typed], asOf, origin);
        return true;
    }

    /** Records what a heartbeat of the coordinator, which follows its rows on the link, says about their completeness. */
    handleHeartbeat(
        { asOf = {}, completeAt = {}, era, storeTime }: Extract<CoordinatorMessage, { kind: "beat"; }>,
    ): void {
        if (!this.era.record(era)) {
            return;
        }
        if (storeTime !== undefined) {
            this.storeClock.record(storeTime);
        }
        for (const table of TABLES) {
            const time = completeAt[table];
            if (time !== undefined) {
                this.getView(table).recordComplete(time, asOf[table]);
            }
        }
    }

    /** Applies a key map or its changes from the coordinator. Returns false when earlier changes are missing. */
    handleKeys({ after, era, fence, map, ranges, service, term, version }: KeysMessage): boolean {
        if (!this.era.record(era)) {
            return true;
        }
        const known = this.keys.isKnown(service) ? this.keys.present.get(service) : undefined;
        if (known && known.version >= version) {
            return true;
        }
        const before = known?.content.kind === "value" ? known.content.value : undefined;
        if (!map && (!before || known?.version !== after)) {
            return false;
        }
        const value = map ? decodeKeyMap(map) : patchKeyMap(before!, term, fence, ranges);
        this.recordKeyMap({ key: service, version, content: { kind: "value", value } }, era);
        return true;
    }

    /** Applies a committed key map. */
    recordKeyMap(row: WatchedRow<KeyMap>, era?: number): void {
        this.era.record(era);
        this.keys.applyRow(row, era);
    }

    /** Returns the versions that are known of all tables. */
    getKnownVersions(): KnownVersions {
        const { configuration, keys, servers } = this;
        const rows = [...keys.present.values()].filter(({ key }) => keys.isKnown(key));
        return {
            tables: { configuration: getKnownVersion(configuration), servers: getKnownVersion(servers) },
            keys: Object.fromEntries(rows.map(({ key, version }) => [key, version])),
            ...this.getEraField(),
        };
    }

    /** Returns messages with everything that a host does not know; all that there is when it does not say what it knows. */
    createUpdates(stated?: KnownVersions): readonly CoordinatorMessage[] {
        // Versions of another era say nothing.
        const known = (stated?.era ?? 0) === this.era.current ? stated : undefined;
        const tables = TABLES.filter(table => getKnownVersion(this.getView(table)) >= 0).map(
            (table): CoordinatorMessage => {
                const { asOf, completeTime, present } = this.getView(table);
                const knownVersion = known?.tables[table] ?? -1;
                this.latestKnown.set(table, Math.max(knownVersion, this.latestKnown.get(table) ?? -1));
                const all = [...present.values()];
                return {
                    kind: "rows",
                    table,
                    after: undefined,
                    asOf,
                    completeAt: completeTime,
                    knownKeys: all.filter(({ version }) => version <= knownVersion).map(({ key }) => key),
                    rows: all.filter(({ version }) => version > knownVersion),
                    ...this.getEraField(),
                };
            },
        );
        const maps = [...this.keys.present.values()].filter(({ key }) => this.keys.isKnown(key))
            .flatMap(row => this.createKeysUpdate(row, known) ?? []);
        return [...tables, ...maps];
    }

    /** Calls the listener with each change, as a message for the other hosts. */
    onChange(listener: (message: CoordinatorMessage) => void): void {
        for (const table of TABLES) {
            const view = this.getView(table);
            const filter = new RowChangeFilter();
            let sentAsOf = view.asOf;
            view.onChange((changed, { changedAfter, completeAt, isAfterOutage, isRestored }) => {
                const different = filter.select(changed);
                const rows = (this.latestKnown.get(table) ?? -1) > sentAsOf ? changed : different;
                sentAsOf = view.asOf;
                // Heartbeats tell the other hosts the version up to which they know the table.
                if (rows.length > 0 || isRestored) {
                    listener({
                        kind: "rows",
                        table,
                        after: isRestored ? undefined : -1,
                        asOf: view.asOf,
                        changedAfter,
                        completeAt,
                        isAfterOutage,
                        rows: isRestored ? [...view.present.values()] : rows,
                        ...this.getEraField(),
                    });
                }
            });
        }
        const sent = new Map<string, number>();
        this.era.onRise(() => sent.clear());
        this.keys.onChange(rows => {
            for (const { content, key, version } of rows) {
                if (content.kind === "value") {
                    const before = sent.get(key);
                    sent.set(key, version);
                    listener(this.createKeysChange(key, version, content.value, before));
                }
            }
        });
    }

    /** Begins a new era of the store: what is known stays in use, but versions and ages count for nothing. */
    private beginEra(era: number, before: number): void {
        this.storeClock.reset();
        this.maps.clear();
        this.latestKnown.clear();
        const views = [this.configuration, this.servers, this.keys];
        const rows = views.reduce((total, { present }) => total + present.size, 0);
        if (rows > 0) {
            this.metrics.count("arbutusdoor_store_restored_total");
            this.logger.log("storeRestored", { era, before, rows });
        }
        views.forEach(view => view.beginEra(era));
    }

    /** Returns the field of messages with the store's era; earlier versions do not know it, and stores without eras do not need it. */
    private getEraField(): { readonly era?: number; } {
        return this.era.current > 0 ? { era: this.era.current } : {};
    }

    private createKeysUpdate(
        { content, key, version }: WatchedRow<KeyMap>,
        known: KnownVersions | undefined,
    ): CoordinatorMessage | undefined {
        const knownVersion = known?.keys[key];
        return content.kind !== "value" || (knownVersion !== undefined && knownVersion >= version)
            ? undefined
            : this.createKeysChange(key, version, content.value, knownVersion);
    }

    /** Creates a message with the changes since a version of a map, or with the whole map when that version is not known any more. */
    private createKeysChange(
        service: string,
        version: number,
        map: KeyMap,
        after: number | undefined,
    ): CoordinatorMessage {
        const before = after === undefined ? undefined : this.maps.find(service, after);
        const changes = before
            ? { after, ranges: listDifferences(before, map) }
            : { map: encodeKeyMap(map) };
        return { ...createKeysMessage(service, version, map, changes), ...this.getEraField() };
    }

    private getView(table: TableName): TableView<never> {
        const view = table === "configuration"
            ? this.configuration
            : table === "servers"
            ? this.servers
            : this.keys;
        return view as unknown as TableView<never>;
    }

    /** Applies a configuration, unless its version is not higher than the one in effect. */
    private handleConfiguration(
        { content, version }: WatchedRow<OperatorEntry>,
        origin: RowsOrigin,
    ): void {
        if (content.kind === "unreadable") {
            this.logger.log("configurationRejected", { row: version, reason: content.reason });
        }
        else if (content.kind === "value" && content.value.kind === "configuration") {
            this.adopt(content.value.configuration, version, origin);
        }
    }

    private adopt(configuration: RoutedConfiguration, version: number, origin: RowsOrigin): void {
        if (configuration.version <= (this.table?.configuration.version ?? -1)) {
            return;
        }
        this.table = new RouteTable(configuration);
        const { routes, version: adopted } = configuration;
        this.logger.log("configurationAdopted", {
            version: adopted,
            row: version,
            routes: routes.length,
            ...this.recordNews("configuration", origin),
        });
        this.listeners.forEach(listener => listener(this.table!));
    }

    /** Records how late a change was learned of. Returns fields for its log line. */
    private recordNews(
        table: TableName,
        origin: RowsOrigin,
    ): { readonly source: string; readonly maxAgeMs: Milliseconds | undefined; } {
        const { source } = origin;
        const age = this.getView(table).getAge(origin);
        if (age !== undefined) {
            this.metrics.record("arbutusdoor_news_age_us", { table, source }, age * MICROSECONDS_PER_MS);
        }
        return { source, maxAgeMs: age === undefined ? undefined : Math.round(age) };
    }
}

/** Returns the version of the store up to which a table is known in its era. */
function getKnownVersion(
    { asOf, isOutdated }: { readonly asOf: number; readonly isOutdated: boolean; },
): number {
    return isOutdated ? -1 : asOf;
}
