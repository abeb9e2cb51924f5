import type { HostId, HostIncarnation, ServerId, ServiceId } from "@arbutusdoor/common";
import { getWorkShare } from "@arbutusdoor/policy";
import type { ServerLoad } from "../backends/serverLoad.js";
import type { HostReport } from "../links/hostReport.js";
import type { KeyHolder } from "../ownership/keyHolder.js";

const MAX_ENTRIES = 2_048;
/** Work times of one server in a report: more would say little more, and a report of all servers should stay below a few KB. */
const MAX_WORK_TIMES = 4;

/** Collects what this host observes of keys and servers for its next report to the coordinator. */
export class LoadReporter {
    private readonly host: HostId;
    private readonly incarnation: HostIncarnation;
    private keys = new Map<string, [string, number, number]>();
    private servers = new Map<ServerId, [string, number, number]>();
    private workTimes = new Map<ServerId, [string, number[]]>();
    private misdirected = new Map<string, [string, number]>();
    private sheds = new Set<ServerId>();
    private leaving = new Map<ServerId, [string, number]>();

    constructor(host: HostId, incarnation: HostIncarnation) {
        this.host = host;
        this.incarnation = incarnation;
    }

    /** Whether nothing was observed since the last report. */
    get isEmpty(): boolean {
        return [this.keys, this.servers, this.misdirected, this.leaving].every(({ size }) => size === 0);
    }

    /** Counts a request for a key. */
    recordRequest(service: ServiceId, key: number): void {
        const name = `${service}/${key}`;
        const entry = this.keys.get(name);
        if (entry) {
            entry[2]++;
        }
        else if (this.keys.size < MAX_ENTRIES) {
            this.keys.set(name, [service, key, 1]);
        }
    }

    /**
     * Records how long a server took to answer.
     *
     * @param load the load that it reported; `undefined` when it reports none
     */
    recordAnswer(server: ServerId, durationMs: number, load?: ServerLoad): void {
        const entry = this.servers.get(server);
        if (entry) {
            entry[1]++;
            entry[2] += durationMs;
        }
        else if (this.servers.size < MAX_ENTRIES) {
            this.servers.set(server, [server, 1, durationMs]);
        }
        this.recordWorkTime(server, durationMs, load);
    }

    private recordWorkTime(server: ServerId, durationMs: number, load: ServerLoad | undefined): void {
        const workMs = Math.round(durationMs * (load ? getWorkShare(load) : 1));
        const entry = this.workTimes.get(server);
        if (!entry && this.workTimes.size < MAX_ENTRIES) {
            this.workTimes.set(server, [server, [workMs]]);
        }
        else if (entry && entry[1].length < MAX_WORK_TIMES) {
            entry[1].push(workMs);
        }
    }

    /** Returns the work times that are not the same as the only answer time. */
    private listWorkTimes(): [string, number[]][] {
        return [...this.workTimes.values()].filter(([server, times]) => {
            const [, answers, totalMs] = this.servers.get(server as ServerId) ?? [server, 0, 0];
            return answers !== 1 || times[0] !== Math.round(totalMs);
        });
    }

    /** Records that a server shed a request. */
    recordShed(server: ServerId): void {
        if (this.sheds.size < MAX_ENTRIES) {
            this.sheds.add(server);
        }
    }

    /** Records that a server refused a request for a key that it should hold. */
    recordMisdirected(service: ServiceId, key: number): void {
        if (this.misdirected.size < MAX_ENTRIES) {
            this.misdirected.set(`${service}/${key}`, [service, key]);
        }
    }

    /** Records that an incarnation of a server has said that it is leaving. */
    recordLeaving({ id, startedAt }: KeyHolder): void {
        if (this.leaving.size < MAX_ENTRIES) {
            this.leaving.set(id, [id, startedAt]);
        }
    }

    /**
     * Returns what was collected since the last call.
     *
     * @param followedTerm term of the coordinator that this host follows, if any
     */
    flush(followedTerm?: number): HostReport {
        const report: HostReport = {
            kind: "report",
            host: this.host,
            incarnation: this.incarnation,
            followedTerm,
            keys: [...this.keys.values()],
            servers: [...this.servers.values()],
            workTimes: this.listWorkTimes(),
            misdirected: [...this.misdirected.values()],
            leaving: [...this.leaving.values()],
            ...(this.sheds.size > 0 && { sheds: [...this.sheds] }),
        };
        this.sheds = new Set();
        this.keys = new Map();
        this.servers = new Map();
        this.workTimes = new Map();
        this.misdirected = new Map();
        this.leaving = new Map();
        return report;
    }
}
