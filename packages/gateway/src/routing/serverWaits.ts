import type { Milliseconds, ServerId, ServiceId } from "@arbutusdoor/common";
import { ServerWait, WorkTime } from "@arbutusdoor/policy";
import type { RegisteredServer } from "../discovery/registeredServer.js";

const MAX_SERVERS = 4_096;
const MAX_ROUTES = 1_024;
/** Servers of a service that have to shed before the service counts as shedding. */
const MIN_SHEDDING = 2;

/** What is known of the waits at servers and of the time that work takes, of a bounded number of servers and routes. */
export class ServerWaits {
    private readonly servers = new Map<ServerId, ServerWait>();
    private readonly works = new Map<string, WorkTime>();

    /** Returns the expected wait at a server. */
    getWait(server: ServerId, now: Milliseconds): Milliseconds {
        return this.servers.get(server)?.get(now) ?? 0;
    }

    /** Returns the usual time of a route's work, else that of its service; 0 when neither is known. */
    getWork(service: ServiceId, route?: string): Milliseconds {
        const own = route === undefined ? undefined : this.works.get(`${service}/${route}`)?.value;
        return own ?? this.works.get(service)?.value ?? 0;
    }

    /** Records how long work of a route took, queue included. */
    recordWork(service: ServiceId, route: string, durationMs: Milliseconds): void {
        getOrAdd(this.works, service, MAX_ROUTES, () => new WorkTime()).record(durationMs);
        getOrAdd(this.works, `${service}/${route}`, MAX_ROUTES, () => new WorkTime()).record(durationMs);
    }

    /** Returns the state of a server, which is created if needed. */
    get(server: ServerId): ServerWait {
        return getOrAdd(this.servers, server, MAX_SERVERS, () => new ServerWait());
    }

    /** Whether a server has shed a request recently. */
    isServerShedding(server: ServerId, now: Milliseconds): boolean {
        return this.servers.get(server)?.isShedding(now) ?? false;
    }

    /** Whether at least half of the servers that were heard of recently have shed: one that sheds everything is not enough. */
    areMostShedding(servers: readonly RegisteredServer[], now: Milliseconds): boolean {
        const active = servers.filter(({ id }) => this.servers.get(id)?.isActive(now) ?? false);
        const shedding = active.filter(({ id }) => this.isServerShedding(id, now)).length;
        return shedding >= MIN_SHEDDING && shedding * 2 >= active.length;
    }

    /** The servers of which something was observed. */
    entries(): IterableIterator<[ServerId, ServerWait]> {
        return this.servers.entries();
    }
}

function getOrAdd<Key, Value>(map: Map<Key, Value>, key: Key, limit: number, create: () => Value): Value {
    let value = map.get(key);
    if (value === undefined) {
        value = create();
        map.set(key, value);
        if (map.size > limit) {
            const [oldest] = map.keys();
            map.delete(oldest as Key);
        }
    }
    return value;
}
