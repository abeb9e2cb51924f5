import type { Clock, Milliseconds, ServerId, ServiceId } from "@arbutusdoor/common";
import type { KeyHolder } from "../ownership/keyHolder.js";
import type { TableView } from "../store/tableView.js";
import type { WatchedRow } from "../store/watchedRow.js";
import type { RegisteredServer } from "./registeredServer.js";

const MAX_DEPARTED = 4_096;

/** A server that announced its end or whose entry is gone. */
type Departure = { readonly server: RegisteredServer; readonly since: Milliseconds; };

/** The backend servers as the platform's registry shows them, with those that left a short time ago. */
export class ServerDirectory {
    private readonly clock: Clock;
    private readonly view: TableView<RegisteredServer>;
    private readonly departures = new Map<ServerId, Departure>();
    private readonly seen = new Map<ServerId, RegisteredServer>();
    private readonly coldUntil = new Map<ServerId, Milliseconds>();
    private services = new Map<ServiceId, RegisteredServer[]>();

    constructor(view: TableView<RegisteredServer>, clock: Clock) {
        this.view = view;
        this.clock = clock;
        view.onChange(changed => this.take(changed));
    }

    /** Whether the registry has been read at all. */
    get isKnown(): boolean {
        return this.view.asOf >= 0;
    }

    /** Servers of a service that are not leaving. */
    listReady(service: ServiceId): readonly RegisteredServer[] {
        return this.services.get(service) ?? [];
    }

    /** All servers that are not leaving. */
    listAllReady(): readonly RegisteredServer[] {
        return [...this.services.values()].flat();
    }

    /** The life of a server as it last registered, also when it is leaving or gone; `undefined` for one never seen. */
    find({ id, startedAt }: KeyHolder): RegisteredServer | undefined {
        const server = this.seen.get(id);
        return server?.startedAt === startedAt ? server : undefined;
    }

    /** The newest life of a server. */
    findNewest(id: ServerId): RegisteredServer | undefined {
        return this.seen.get(id);
    }

    /** Time since this host learnt that the server is leaving or gone; `undefined` while it is neither. */
    getLeavingTime(id: ServerId): Milliseconds | undefined {
        const departure = this.departures.get(id);
        return departure && this.clock.now() - departure.since;
    }

    /** Whether the server has started so recently that it is still slow. */
    isCold(id: ServerId): boolean {
        return this.clock.now() < (this.coldUntil.get(id) ?? -Infinity);
    }

    /** Whether the server's entry is missing from the registry. */
    isMissing(id: ServerId): boolean {
        return this.view.present.get(id)?.content.kind !== "value";
    }

    private take(changed: readonly WatchedRow<RegisteredServer>[]): void {
        for (const { content, key } of changed) {
            const id = key as ServerId;
            const server = content.kind === "value" ? content.value : undefined;
            if (server) {
                this.noteServer(server);
            }
            if (!server || server.isDraining) {
                this.noteDeparture(id, server ?? this.seen.get(id));
            }
            else {
                this.departures.delete(id);
            }
        }
        this.rebuild();
    }

    private noteServer(server: RegisteredServer): void {
        const known = this.seen.get(server.id);
        if (!known || server.startedAt >= known.startedAt) {
            if (known && server.startedAt > known.startedAt) {
                this.departures.delete(server.id);
            }
            this.seen.delete(server.id);
            this.seen.set(server.id, server);
            this.coldUntil.set(server.id, this.clock.now() + server.warmupLeftMs);
            forgetOldest(this.coldUntil, id => this.isMissing(id));
            forgetOldest(this.seen, id => this.isMissing(id));
        }
    }

    private noteDeparture(id: ServerId, server: RegisteredServer | undefined): void {
        if (server && !this.departures.has(id)) {
            this.departures.set(id, { server, since: this.clock.now() });
            forgetOldest(this.departures, () => true);
        }
    }

    private rebuild(): void {
        this.services = new Map();
        for (const { content } of this.view.present.values()) {
            if (content.kind === "value" && !content.value.isDraining) {
                const { service } = content.value;
                const servers = this.services.get(service) ?? [];
                servers.push(content.value);
                this.services.set(service, servers);
            }
        }
    }
}

function forgetOldest<Value>(map: Map<ServerId, Value>, mayForget: (id: ServerId) => boolean): void {
    for (const id of map.keys()) {
        if (map.size <= MAX_DEPARTED) {
            return;
        }
        if (mayForget(id)) {
            map.delete(id);
        }
    }
}
