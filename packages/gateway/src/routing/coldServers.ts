import type { Clock, HostId, Logger, Metrics, Milliseconds, ServerId, ServiceId } from "@arbutusdoor/common";
import { type ColdLimit, type ColdShare, getColdShare, isChosen } from "@arbutusdoor/policy";
import type { RegisteredServer } from "../discovery/registeredServer.js";
import type { ServerDirectory } from "../discovery/serverDirectory.js";

const MAX_ENTRIES = 4_096;
const NO_LIMIT: ColdLimit = { requestsPerS: 0, perSecond: 0 };
/**
 * About the time in which the keys of a cold owner move: the coordinator's next plan, a commit, a release and a grant. A request that this
 * host cannot send may come back then.
 */
const MOVE_MS: Milliseconds = 1_000;
/** A cold server works at about half its speed. */
const COLD_COST_FACTOR = 2;
/** Makes a server that has joined the first choice for one request: it has to get one within seconds, even if others are warm. */
const FIRST_COST_FACTOR = 1e-3;
/** If that request could not be sent, the next one is routed to the server after this time: its connection may not open. */
const FIRST_RETRY_MS: Milliseconds = 1_000;

/** Dependencies of the quota. */
type ColdServersParts = {
    readonly host: HostId;
    readonly directory: ServerDirectory;
    readonly clock: Clock;
    readonly logger: Logger;
    readonly metrics: Metrics;
    /** Returns what a cold server of a service may get; `undefined` when there is no limit. */
    readonly getLimit: (service: ServiceId) => ColdLimit | undefined;
    /** Returns the number of hosts; `undefined` while it is not known. */
    readonly getHosts: () => number | undefined;
};

/** The last request of this host to a server that was cold. */
type SentRequest = { readonly startedAt: number; readonly nextAt: Milliseconds; };

/** Whether this host is chosen for a server with a probability. */
type Choice = { readonly probability: number; readonly isChosen: boolean; };

/** This host's share for a number of hosts and a limit. */
type KnownShare = { readonly hosts: number; readonly limit: ColdLimit; readonly share: ColdShare; };

/** This host's quota of requests to each cold server. */
export class ColdServers {
    private readonly parts: ColdServersParts;
    /** When a request was last routed to a cold server. */
    private readonly routed = new Map<ServerId, Milliseconds>();
    private readonly sent = new Map<ServerId, SentRequest>();
    private readonly choices = new Map<ServerId, Choice>();
    private readonly shares = new Map<ServiceId, KnownShare>();

    constructor(parts: ColdServersParts) {
        this.parts = parts;
        const { directory, getLimit, logger, metrics } = parts;
        directory.cold.onCold((server, timeLeft, source) => {
            if (getLimit(server.service)) {
                const fields = { server: server.id, service: server.service, forMs: Math.round(timeLeft) };
                logger.log("serverCold", { ...fields, source });
            }
        });
        metrics.gauge(
            "arbutusdoor_cold_servers",
            () => directory.listAllReady().filter(server => this.getColdTime(server) > 0).length,
        );
    }

    /** Returns how long this host must not send to a server; 0 when it may. */
    getWait(server: RegisteredServer): Milliseconds {
        const coldTime = this.getColdTime(server);
        if (coldTime === 0) {
            return 0;
        }
        const wait = this.isChosen(server) ? this.getSpacingLeft(server) : MOVE_MS;
        return Math.min(coldTime, wait);
    }

    /** Returns when a request for a key of a server that this host must not send to may come back; 0 when this host may send. */
    getOwnerWait(server: RegisteredServer): Milliseconds {
        return this.getWait(server) === 0 ? 0 : Math.min(this.getColdTime(server), MOVE_MS);
    }

    /** Takes a request from the quota of a server. Returns false when it must not be sent. */
    take(server: RegisteredServer): boolean {
        if (this.getColdTime(server) === 0) {
            return true;
        }
        const { clock, metrics } = this.parts;
        const { id, service, startedAt } = server;
        const isAllowed = this.isChosen(server) && this.getSpacingLeft(server) === 0;
        metrics.count(`arbutusdoor_cold_${isAllowed ? "requests" : "refusals"}_total`, { service });
        if (isAllowed) {
            const nextAt = clock.now() + this.getShare(service).spacingMs;
            putNewest(this.sent, id, { startedAt, nextAt });
        }
        return isAllowed;
    }

    /** Returns the factor by which a server counts as more expensive. */
    getCostFactor(server: RegisteredServer): number {
        if (this.getColdTime(server) === 0) {
            return 1;
        }
        const isKnown = this.sent.get(server.id)?.startedAt === server.startedAt;
        const routedMs = this.parts.clock.now() - (this.routed.get(server.id) ?? -Infinity);
        return isKnown || routedMs < FIRST_RETRY_MS ? COLD_COST_FACTOR : FIRST_COST_FACTOR;
    }

    /** Records that a request was routed to a server, which does not mean that it is sent. */
    recordRouted(server: RegisteredServer): void {
        if (this.getColdTime(server) > 0) {
            putNewest(this.routed, server.id, this.parts.clock.now());
        }
    }

    /** Returns how much longer a server is cold and limited; 0 when it is not. */
    private getColdTime({ id, service }: RegisteredServer): Milliseconds {
        const timeLeft = this.parts.directory.cold.getTimeLeft(id);
        return timeLeft > 0 && this.parts.getLimit(service) ? timeLeft : 0;
    }

    private getSpacingLeft({ id }: RegisteredServer): Milliseconds {
        return Math.max(0, (this.sent.get(id)?.nextAt ?? -Infinity) - this.parts.clock.now());
    }

    /** Whether this host may send to a server at all; it changes only with this host's share. */
    private isChosen({ id, service }: RegisteredServer): boolean {
        const { probability } = this.getShare(service);
        let choice = this.choices.get(id);
        if (choice?.probability !== probability) {
            choice = { probability, isChosen: isChosen(this.parts.host, id, probability) };
            putNewest(this.choices, id, choice);
        }
        return choice.isChosen;
    }

    /** Returns this host's share, which changes only with the number of hosts and the configuration. */
    private getShare(service: ServiceId): ColdShare {
        const hosts = this.parts.getHosts() ?? 0;
        const limit = this.parts.getLimit(service) ?? NO_LIMIT;
        const known = this.shares.get(service);
        if (
            known?.hosts === hosts && known.limit.perSecond === limit.perSecond
            && known.limit.requestsPerS === limit.requestsPerS
        ) {
            return known.share;
        }
        const share = getColdShare(hosts, limit);
        putNewest(this.shares, service, { hosts, limit, share });
        return share;
    }
}

function putNewest<Key, Value>(map: Map<Key, Value>, key: Key, value: Value): void {
    map.delete(key);
    map.set(key, value);
    if (map.size > MAX_ENTRIES) {
        const [oldest] = map.keys();
        map.delete(oldest!);
    }
}
