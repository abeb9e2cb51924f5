import type { Clock, Milliseconds, ServerId, ServiceId } from "@arbutusdoor/common";
import { getHolderName } from "../ownership/getHolderName.js";
import type { KeyHolder } from "../ownership/keyHolder.js";
import type { RowsOrigin } from "../store/rowsOrigin.js";
import type { TableView } from "../store/tableView.js";
import type { WatchedRow } from "../store/watchedRow.js";
import { ColdTimes } from "./coldTimes.js";
import type { RegisteredServer } from "./registeredServer.js";

const MAX_SERVERS = 4_096;

/** A server that announced its shutdown or whose entry is gone. */
type Departure = {
    readonly server: RegisteredServer;
    /** When this host learned of it. */
    readonly knownSince: Milliseconds;
    /** Earliest time at which it can have been committed to the registry, or was said by the server itself. */
    readonly since: Milliseconds;
    /** Whether the server said so itself; the registry may learn of it later. */
    readonly isAnnounced: boolean;
};

/** By what a host learned that a server itself said that it is leaving: its own answers, or another host's report. */
type AnnouncementSource = "answer" | "report";

/** Handles the first announcement of a server that was not known to leave. */
type AnnouncementListener = (server: RegisteredServer, source: AnnouncementSource) => void;

/** The backend servers in the platform's registry, and those that left recently. */
export class ServerDirectory {
    /** How long servers stay cold. */
    readonly cold: ColdTimes;
    private readonly clock: Clock;
    private readonly view: TableView<RegisteredServer>;
    private readonly departures = new Map<ServerId, Departure>();
    private readonly seen = new Map<ServerId, RegisteredServer>();
    /** Departed servers that the snapshot of a restored store lists as ready: they stay departed until their entries change. */
    private readonly restored = new Set<ServerId>();
    /** Names of the incarnations that were registered at more than one address. */
    private readonly moved = new Set<string>();
    private readonly announcementListeners = new Set<AnnouncementListener>();
    private services = new Map<ServiceId, RegisteredServer[]>();

    constructor(view: TableView<RegisteredServer>, clock: Clock) {
        this.view = view;
        this.clock = clock;
        this.cold = new ColdTimes(clock);
        view.onChange((changed, origin) => this.handleChanges(changed, origin));
    }

    /** Whether the registry has been read at all. */
    get isKnown(): boolean {
        return this.view.asOf >= 0;
    }

    /** Returns the servers of a service that are not leaving. */
    listReady(service: ServiceId): readonly RegisteredServer[] {
        return this.services.get(service) ?? [];
    }

    /** Returns all servers that are not leaving. */
    listAllReady(): readonly RegisteredServer[] {
        return [...this.services.values()].flat();
    }

    /** Returns the newest known incarnation of each server of a service, also of those that are leaving or gone. */
    listKnown(service: ServiceId): readonly RegisteredServer[] {
        return [...this.seen.values()].filter(server => server.service === service);
    }

    /**
     * Returns an incarnation of a server as last registered, also when it is leaving or gone; `undefined` for one never seen or replaced.
     */
    find({ id, startedAt }: KeyHolder): RegisteredServer | undefined {
        const server = this.seen.get(id);
        return server?.startedAt === startedAt ? server : undefined;
    }

    /** Returns the newest incarnation of a server, also when it is leaving or gone. */
    findNewest(id: ServerId): RegisteredServer | undefined {
        return this.seen.get(id);
    }

    /**
     * Whether an incarnation of a server was registered at more than one address. It keeps its address while it runs, so that one of its
     * entries was another writer's.
     */
    hasMoved(holder: KeyHolder): boolean {
        return this.moved.has(getHolderName(holder));
    }

    /** Returns the time since this host learned that the server is leaving or gone; `undefined` while it is neither. */
    getLeavingTime(id: ServerId): Milliseconds | undefined {
        const departure = this.departures.get(id);
        return departure && this.clock.now() - departure.knownSince;
    }

    /**
     * Returns the longest time since the server said or the registry recorded that it is leaving or gone; `undefined` while it is neither. An
     * entry that was found missing after an outage of the store may only have expired: its time is counted from the read.
     */
    getMaxLeavingTime(id: ServerId): Milliseconds | undefined {
        const departure = this.departures.get(id);
        return departure && this.clock.now() - departure.since;
    }

    /**
     * Records that an incarnation of a server has said itself that it is leaving. This holds until a newer incarnation registers, whatever the
     * registry says of this one.
     */
    recordAnnouncement(holder: KeyHolder, source: AnnouncementSource): void {
        const server = this.find(holder);
        const known = this.departures.get(holder.id);
        if (!server || known?.isAnnounced) {
            return;
        }
        const now = this.clock.now();
        this.departures.set(server.id, {
            server,
            knownSince: known?.knownSince ?? now,
            since: known?.since ?? now,
            isAnnounced: true,
        });
        forgetOldest(this.departures, () => true);
        this.rebuild();
        if (!known) {
            this.announcementListeners.forEach(listener => listener(server, source));
        }
    }

    /** Calls the listener with each server that was first known to leave by its own word. */
    onAnnouncement(listener: AnnouncementListener): void {
        this.announcementListeners.add(listener);
    }

    /** Whether the server is slow since it has started recently or has turned cold again. */
    isCold(id: ServerId): boolean {
        return this.cold.getTimeLeft(id) > 0;
    }

    /** Records how much longer an incarnation of a server is cold by its own answer. */
    recordCold(holder: KeyHolder, timeLeft: Milliseconds): void {
        const server = this.find(holder);
        if (server) {
            this.cold.record(server, timeLeft, "answer");
        }
    }

    /** Whether the server's entry is missing from the registry. */
    isMissing(id: ServerId): boolean {
        return this.view.present.get(id)?.content.kind !== "value";
    }

    private handleChanges(changed: readonly WatchedRow<RegisteredServer>[], origin: RowsOrigin): void {
        const age = this.view.getAge(origin) ?? 0;
        for (const { content, key } of changed) {
            const id = key as ServerId;
            const server = content.kind === "value" ? content.value : undefined;
            if (server) {
                this.recordServer(server);
            }
            if (!server || server.isDraining) {
                const isExpired = !server && origin.isAfterOutage;
                this.recordDeparture(id, server ?? this.seen.get(id), isExpired ? 0 : age);
            }
            else if (origin.isRestored && this.departures.has(id)) {
                this.restored.add(id);
            }
            else if (!this.departures.get(id)?.isAnnounced) {
                this.departures.delete(id);
            }
            if (!origin.isRestored || !this.departures.has(id)) {
                this.restored.delete(id);
            }
        }
        this.rebuild();
    }

    /** Whether this incarnation of a server, or a newer one, has said that it is leaving. */
    private hasAnnounced({ id, startedAt }: RegisteredServer): boolean {
        const departure = this.departures.get(id);
        return departure !== undefined && departure.isAnnounced && departure.server.startedAt >= startedAt;
    }

    private isReady(server: RegisteredServer): boolean {
        return !server.isDraining && !this.hasAnnounced(server) && !this.restored.has(server.id);
    }

    private recordServer(server: RegisteredServer): void {
        const known = this.seen.get(server.id);
        if (!known || server.startedAt >= known.startedAt) {
            if (known && server.startedAt > known.startedAt) {
                this.departures.delete(server.id);
            }
            if (known?.startedAt === server.startedAt && known.address !== server.address) {
                this.moved.add(getHolderName(server));
                forgetOldest(this.moved, () => true);
            }
            this.seen.delete(server.id);
            this.seen.set(server.id, server);
            this.cold.record(server, server.warmupLeftMs, "entry");
            forgetOldest(this.seen, id => this.isMissing(id));
        }
    }

    private recordDeparture(id: ServerId, server: RegisteredServer | undefined, age: Milliseconds): void {
        const now = this.clock.now();
        const known = this.departures.get(id);
        const since = now - age;
        if (server && since < (known?.since ?? Infinity)) {
            const { isAnnounced = false, knownSince = now } = known ?? {};
            this.departures.set(id, { server, knownSince, since, isAnnounced });
            forgetOldest(this.departures, () => true);
        }
    }

    private rebuild(): void {
        this.services = new Map();
        for (const { content } of this.view.present.values()) {
            if (content.kind === "value" && this.isReady(content.value)) {
                const { service } = content.value;
                const servers = this.services.get(service) ?? [];
                servers.push(content.value);
                this.services.set(service, servers);
            }
        }
    }
}

/** A collection that is bounded. */
type Bounded<Key> = {
    readonly size: number;
    keys(): Iterable<Key>;
    delete(key: Key): boolean;
};

function forgetOldest<Key>(entries: Bounded<Key>, mayForget: (key: Key) => boolean): void {
    for (const key of entries.keys()) {
        if (entries.size <= MAX_SERVERS) {
            return;
        }
        if (mayForget(key)) {
            entries.delete(key);
        }
    }
}
