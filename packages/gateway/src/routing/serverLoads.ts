import type { Logger, Metrics, Milliseconds, ServerId, ServiceId } from "@arbutusdoor/common";
import { getTimeToStart, getWorkShare } from "@arbutusdoor/policy";
import type { BackendOutcome } from "../backends/backendOutcome.js";
import type { ServerLoad } from "../backends/serverLoad.js";
import type { RegisteredServer } from "../discovery/registeredServer.js";

const MAX_SERVERS = 4_096;
const MAX_SERVICES = 256;
/** Reports and observations lose their weight within this time: a queue of this length has emptied or grown since. */
const MAX_AGE_MS = 1_000;
/** Reports of a server that refused a request although it reported a free slot are ignored for this time. */
const DISTRUST_MS = 5_000;
/** Weight of one work time where the server's report separates work from queueing. */
const WORK_WEIGHT = 0.1;
/** Without a report, longer answer times include queueing: the estimate falls fast and rises slowly. */
const RISE_WEIGHT = 0.02;
/** Assumed before any server of the service has answered. */
const DEFAULT_WORK_MS = 200;
const FIRST_FAILURE_STATUS = 500;

/** A value with the time of its observation. */
type Observation<Value> = { readonly value: Value; readonly at: Milliseconds; };

/** What this host knows of the load of one incarnation of a server. */
type ServerRecord = {
    readonly startedAt: number;
    report?: Observation<ServerLoad>;
    /** Requests of this host that were sent since the report and have not ended. */
    sentSince: number;
    workMs?: Milliseconds;
    /** How long a request of this host has waited there. */
    wait?: Observation<Milliseconds>;
    distrustedUntil: Milliseconds;
};

/**
 * The load of backend servers as far as this host knows it: the newest report of each, what this host has sent since, and how long its own
 * requests waited. What it has observed itself takes precedence over a report that it contradicts.
 */
export class ServerLoads {
    private readonly servers = new Map<ServerId, ServerRecord>();
    private readonly serviceWork = new Map<ServiceId, Milliseconds>();
    private readonly logger: Logger;
    private readonly metrics: Metrics;

    constructor(logger: Logger, metrics: Metrics) {
        this.logger = logger;
        this.metrics = metrics;
    }

    /** Records that a request was sent to a server. */
    recordSent(server: RegisteredServer): void {
        this.getRecord(server).sentSince++;
    }

    /**
     * Records how a request to a server ended.
     *
     * @param durationMs time from sending to the head of the answer
     */
    recordOutcome(
        server: RegisteredServer,
        outcome: BackendOutcome,
        durationMs: Milliseconds,
        now: Milliseconds,
    ): void {
        const record = this.getRecord(server);
        record.sentSince = Math.max(0, record.sentSince - 1);
        const load = outcome.kind === "answered" || outcome.kind === "notRun"
            ? outcome.notice?.load
            : undefined;
        if (load) {
            record.report = { value: load, at: now };
            record.sentSince = 0;
        }
        if (outcome.kind === "answered" && outcome.status < FIRST_FAILURE_STATUS) {
            const trusted = now < record.distrustedUntil ? undefined : load;
            this.recordWork(record, server.service, durationMs, trusted);
            this.recordWait(record, server, durationMs, trusted?.slowness, now);
        }
        else if (outcome.kind === "cancelled" && outcome.isSent && durationMs > this.getWorkTime(server)) {
            // It got no answer in time: it waited, or the server stands still.
            this.recordWait(record, server, durationMs, undefined, now);
        }
        else if (outcome.kind === "notRun" && outcome.cause === "shed") {
            // The queue is full, or too long for the request: a further one waits at least until a slot becomes free.
            const value = Math.max(record.wait?.value ?? 0, this.getWorkTime(server));
            record.wait = { value, at: now };
            if (load && load.running + load.waiting < load.slots) {
                this.distrust(record, server, load, now);
            }
        }
    }

    /**
     * Returns the expected time until a request sent now would start at a server; `undefined` when nothing recent is known. The older the
     * report or observation, the less of it counts.
     */
    getExpectedStart(server: RegisteredServer, now: Milliseconds): Milliseconds | undefined {
        const record = this.find(server);
        if (!record) {
            return undefined;
        }
        const { report, sentSince, wait } = record;
        const load = this.getReport(server, now);
        if (load) {
            return getWeight(report, now) * getTimeToStart(load, sentSince, this.getWorkTime(server));
        }
        const waitWeight = getWeight(wait, now);
        return wait && waitWeight > 0 ? waitWeight * wait.value : undefined;
    }

    /** Returns the newest load that a server reported; `undefined` when there is none that is recent and not contradicted. */
    getReport(server: RegisteredServer, now: Milliseconds): ServerLoad | undefined {
        const record = this.find(server);
        const isTrusted = record && now >= record.distrustedUntil && getWeight(record.report, now) > 0;
        return isTrusted ? record.report?.value : undefined;
    }

    /** Returns the usual work time of a request at a server, without queueing. */
    getWorkTime(server: RegisteredServer): Milliseconds {
        return this.find(server)?.workMs ?? this.serviceWork.get(server.service) ?? DEFAULT_WORK_MS;
    }

    private recordWait(
        record: ServerRecord,
        server: RegisteredServer,
        durationMs: Milliseconds,
        slowness: number | undefined,
        now: Milliseconds,
    ): void {
        const workMs = this.getWorkTime(server) * (slowness ?? 1);
        record.wait = { value: Math.max(0, durationMs - workMs), at: now };
    }

    private distrust(
        record: ServerRecord,
        { id, service }: RegisteredServer,
        { running, slots, waiting }: ServerLoad,
        now: Milliseconds,
    ): void {
        this.metrics.count("arbutusdoor_server_load_distrusted_total", { service });
        if (now >= record.distrustedUntil) {
            this.logger.log("serverLoadDistrusted", { server: id, service, running, waiting, slots });
        }
        record.distrustedUntil = now + DISTRUST_MS;
    }

    private recordWork(
        record: ServerRecord,
        service: ServiceId,
        durationMs: Milliseconds,
        load: ServerLoad | undefined,
    ): void {
        const slowness = load && load.slowness > 0 ? load.slowness : 1;
        const work = load ? durationMs * getWorkShare(load) / slowness : durationMs;
        const average = (known: Milliseconds | undefined) => {
            const weight = load || work < (known ?? work) ? WORK_WEIGHT : RISE_WEIGHT;
            return known === undefined ? work : known + weight * (work - known);
        };
        record.workMs = average(record.workMs);
        this.serviceWork.set(service, average(this.serviceWork.get(service)));
        forgetOldest(this.serviceWork, MAX_SERVICES);
    }

    private find({ id, startedAt }: RegisteredServer): ServerRecord | undefined {
        const record = this.servers.get(id);
        return record?.startedAt === startedAt ? record : undefined;
    }

    private getRecord(server: RegisteredServer): ServerRecord {
        const known = this.find(server);
        if (known) {
            return known;
        }
        const record = { startedAt: server.startedAt, sentSince: 0, distrustedUntil: -Infinity };
        this.servers.delete(server.id);
        this.servers.set(server.id, record);
        forgetOldest(this.servers, MAX_SERVERS);
        return record;
    }
}

function getWeight(observation: Observation<unknown> | undefined, now: Milliseconds): number {
    return observation ? Math.max(0, 1 - (now - observation.at) / MAX_AGE_MS) : 0;
}

function forgetOldest<Key>(map: Map<Key, unknown>, limit: number): void {
    if (map.size > limit) {
        const [oldest] = map.keys();
        map.delete(oldest as Key);
    }
}
