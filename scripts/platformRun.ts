import { RandomSource, SystemClock } from "@arbutusdoor/common";
import {
    type CallerEntry,
    CallerSettings,
    type Disruption,
    type HostStop,
    PlatformProtocol,
    runCallers,
    sendCall,
    type Verdict,
} from "@arbutusdoor/standins";
import { Agent } from "undici";
import type * as z from "zod";
import { PlatformSystem } from "./platformSystem.js";
import { sendWithUnfinishedHead } from "./sendWithUnfinishedHead.js";
import { ServerRecords } from "./serverRecords.js";
import type { SoakKinds } from "./soakKinds.js";
import { useThroughStop } from "./useThroughStop.js";

const SERVICES = [
    { name: "gustboard", isKeyed: true, kind: "safe", dataCentres: ["north", "north", "south"] },
    { name: "agenda", isKeyed: true, kind: "unsafe", dataCentres: ["north", "south"] },
    { name: "shorepermit", isKeyed: false, kind: "unsafe", dataCentres: ["north", "south"] },
    { name: "loghold", isKeyed: false, kind: "upload", dataCentres: ["north", "south"] },
] as const;
/** A pool whose requests may take long, and whose servers get no faults: what becomes of its requests is the hosts' doing. */
const LONG_SERVICE = {
    name: "tidewatch",
    isKeyed: false,
    kind: "safe",
    dataCentres: ["north", "south"],
} as const;
/** A pool like it, for requests that may run once. */
const SPARED_SERVICE = {
    name: "ferryticket",
    isKeyed: false,
    kind: "unsafe",
    dataCentres: ["north", "north", "south", "south"],
    slots: 24,
} as const;
/** The service to which callers send a request and the beginning of another. */
const BEGUN_SERVICE = "shorepermit";
const HOSTS = { "north-1": "north", "north-2": "north", "south-1": "south" };
const KEYS = 20;
/** Keys and pause of reads that keep most ranges of a server at work. */
const WORKED_KEYS = 60;
const READ_PAUSE_MS = 15;
/** Lines of a host's output that an error repeats. */
const DESCRIBED_LINES = 20;
const POLL_MS = 50;
/** A host that has come back follows the store, and keys of a dead server wait for their grants to lapse (9 s) at worst. */
const SERVED_LIMIT_MS = 20_000;
const CALL_TIMEOUT_MS = 5_000;
const STOP_TIMEOUT_MS = 1_200;
const PROBE_TIMEOUT_MS = 1_500;
const LOAD_RATE = 120;
const LOAD_COUNT = 1_000_000;
const LOAD_SECONDS = 3_600;
const IN_FLIGHT = 300;
const UPLOAD_BYTES = 100_000;
/** Short enough that a request's work lasts longer. */
const SHORT_HEADER_TIMEOUT_MS = 1_000;
/** After the end of a fault, what it held up arrives within a request's time. */
const SETTLE_MS = CALL_TIMEOUT_MS;

/** What a run may be given. */
type RunChoices = { readonly seed?: number; readonly hostProgram?: string | undefined; };

/** Hosts on the platform under load, whose servers and callers are judged by the observer at the end. */
export class PlatformRun {
    readonly clock = new SystemClock();
    readonly system: PlatformSystem;
    readonly records = new ServerRecords(this.clock);
    private readonly calls: CallerEntry[] = [];
    private readonly protocol: PlatformProtocol;
    private readonly agent = new Agent({ connections: IN_FLIGHT });
    private readonly disruptions: Disruption[] = [];
    private readonly stops: HostStop[] = [];
    private readonly services: readonly { readonly name: string; }[];
    private readonly kinds: SoakKinds;
    private readonly seed: number;
    private probes = 0;

    /**
     * @param kinds further kinds of faults, for which there are services, limits or requests of their own
     * @param choices the seed of what callers do, and the program of the hosts
     */
    constructor(kinds: SoakKinds = {}, { seed = 1, hostProgram }: RunChoices = {}) {
        const services = [
            ...SERVICES,
            ...kinds.hasDisruptions || kinds.hasStops ? [LONG_SERVICE] : [],
            ...kinds.hasStops ? [SPARED_SERVICE] : [],
        ];
        this.seed = seed;
        this.kinds = kinds;
        this.services = services;
        const headerTimeoutMs = kinds.hasSecondAnswers ? SHORT_HEADER_TIMEOUT_MS : undefined;
        this.system = new PlatformSystem(services, hostProgram, headerTimeoutMs);
        this.protocol = new PlatformProtocol(this.system.authority);
    }

    /** Starts everything, and resolves once every service is served through every host. */
    async start(): Promise<void> {
        await this.system.start(HOSTS);
        await this.waitUntilServed();
    }

    /** Begins to send requests to all hosts; the function that is returned stops that and resolves once all have ended. */
    startLoad(settings: Partial<z.input<typeof CallerSettings>>): () => Promise<readonly CallerEntry[]> {
        const stopping = new AbortController();
        const parsed = CallerSettings.parse({
            name: "load",
            entryHosts: [...this.system.hosts.values()].map(({ callers }) => callers),
            reads: ["gustboard", "agenda"],
            filings: ["shorepermit", "agenda"],
            uploads: this.kinds.hasSecondAnswers ? ["loghold", "agenda"] : ["loghold"],
            count: LOAD_COUNT,
            seconds: LOAD_SECONDS,
            requestsPerSecond: LOAD_RATE,
            inFlight: IN_FLIGHT,
            keys: KEYS,
            uploadBytes: UPLOAD_BYTES,
            timeoutMs: CALL_TIMEOUT_MS,
            // A caller that sends a filing again after an unknown outcome may run it twice by itself.
            repeats: 0,
            ...settings,
        });
        const running = runCallers(parsed, this.clock, stopping.signal, this.protocol);
        return async () => {
            stopping.abort();
            const { entries } = await running;
            this.calls.push(...entries);
            return entries;
        };
    }

    /** Describes the hosts and servers that do not run; after all faults have ended these have ended by themselves. */
    listEnded(): readonly string[] {
        return [...this.system.hosts, ...this.system.servers].filter(([, { program }]) => program.hasEnded)
            .map(
                ([name, { program }]) =>
                    `${name} ended by itself: ${program.lines.at(-1) ?? "it printed nothing"}`,
            );
    }

    /** Whether a server gets no faults. */
    isSpared(server: string): boolean {
        return server.startsWith(LONG_SERVICE.name) || server.startsWith(SPARED_SERVICE.name);
    }

    /** Random numbers of their own for a fault of this run's plan. */
    newRandom(target: string, lengthMs: number): RandomSource {
        return new RandomSource(this.seed + [...this.system.hosts.keys()].indexOf(target) + lengthMs);
    }

    /** Records that a host gets SIGTERM now. */
    recordStop(host: string): void {
        const { callers: entryHost } = this.system.hosts.get(host)!;
        this.stops.push({ entryHost, at: this.clock.wallTime() });
    }

    /** Uses a host in many ways from now, `aheadMs` before its SIGTERM, until its process is gone; resolves once all requests have ended. */
    async sendThroughStop(host: string, random: RandomSource, aheadMs: number): Promise<void> {
        const { clock, protocol } = this;
        const entries = await useThroughStop({
            clock,
            protocol,
            random,
            entryHost: this.system.hosts.get(host)!.callers,
            timeoutMs: STOP_TIMEOUT_MS,
            stopAt: clock.now() + aheadMs,
            services: { read: LONG_SERVICE.name, once: SPARED_SERVICE.name },
            prefix: `stop-${this.probes++}`,
        });
        this.calls.push(...entries);
    }

    /** Sends requests to one host whose work takes `workMs` at a server of a pool; resolves once all have ended. */
    async sendLongReads(host: string, count: number, workMs: number): Promise<readonly CallerEntry[]> {
        const { callers } = this.system.hosts.get(host)!;
        const entries = await Promise.all(Array.from({ length: count }, () => {
            const name = `long-${this.probes++}`;
            const path = `/${LONG_SERVICE.name}/key-0/read?call=${name}&delay=${workMs}`;
            return this.sendRead(name, path, callers, CALL_TIMEOUT_MS);
        }));
        this.calls.push(...entries);
        return entries;
    }

    /** Longest time in ms that a caller may take for the head of a request, while that is short. */
    get headerTimeoutMs(): number {
        return SHORT_HEADER_TIMEOUT_MS;
    }

    /** Sends filings to one host whose work takes `workMs`, and behind each the beginning of a further head; resolves once all have ended. */
    async sendWithUnfinishedHeads(host: string, count: number, workMs: number): Promise<void> {
        const { callers: entryHost } = this.system.hosts.get(host)!;
        const entries = await Promise.all(Array.from({ length: count }, () => {
            const name = `begun-${this.probes++}`;
            const path = `/${BEGUN_SERVICE}/key-${this.probes % KEYS}/once?call=${name}&delay=${workMs}`;
            const body = Buffer.from(`filing ${name}`);
            const call = { name, kind: "once", method: "POST", path, headers: {}, body } as const;
            return sendWithUnfinishedHead(call, {
                clock: this.clock,
                entryHost,
                protocol: this.protocol,
                timeoutMs: CALL_TIMEOUT_MS,
            });
        }));
        this.calls.push(...entries);
    }

    /** Sends reads of a service's keys through all hosts for a time, each with long work; resolves once all have ended. */
    async sendKeyedReads(service: string, durationMs: number, workMs: number): Promise<void> {
        const until = this.clock.now() + durationMs;
        const reads: Promise<CallerEntry>[] = [];
        while (this.clock.now() < until) {
            for (const { callers, program } of this.system.hosts.values()) {
                const name = `keyed-${this.probes++}`;
                const path = `/${service}/key-${this.probes % WORKED_KEYS}/read?call=${name}&delay=${workMs}`;
                if (!program.hasEnded) {
                    reads.push(this.sendRead(name, path, callers, CALL_TIMEOUT_MS));
                }
            }
            await this.clock.sleep(READ_PAUSE_MS);
        }
        this.calls.push(...await Promise.all(reads));
    }

    /** Whether a host says that it is ready. */
    async isReady(name: string): Promise<boolean> {
        try {
            const response = await fetch(`http://${this.system.hosts.get(name)!.readiness}/-/readiness`);
            await response.text();
            return response.ok;
        }
        catch {
            return false;
        }
    }

    /** Resolves once some keys of each service are served through every host that runs; rejects when that takes too long. */
    async waitUntilServed(): Promise<void> {
        const until = this.clock.now() + SERVED_LIMIT_MS;
        const hosts = [...this.system.hosts].filter(([, { program }]) => !program.hasEnded);
        await Promise.all(
            hosts.flatMap(([host, { callers }]) =>
                this.services.flatMap(({ name }) =>
                    Array.from(
                        { length: KEYS },
                        (_, key) => this.waitForAnswer(host, callers, `/${name}/key-${key}/probe`, until),
                    )
                )
            ),
        );
    }

    /** The observer's verdict. The load must have been stopped. */
    judge(): Promise<Verdict> {
        const notices = { drainMs: this.system.drainMs, disruptions: this.disruptions };
        const stops = { graceMs: this.system.graceMs, timeoutMs: STOP_TIMEOUT_MS, stops: this.stops };
        return this.records.judge(this.system.servers.values(), this.calls, { notices, stops });
    }

    /** Records a fault of a host or a server from its beginning to some time after its end, when what it held up has arrived. */
    async recordDisruption(target: string, fault: () => Promise<void>): Promise<void> {
        const name = this.system.hosts.get(target)?.callers ?? target;
        const from = this.clock.wallTime();
        try {
            await fault();
        }
        finally {
            this.disruptions.push({ name, from, until: this.clock.wallTime() + SETTLE_MS });
        }
    }

    /** Ends every process at once. */
    async stop(): Promise<void> {
        await this.system.stop();
        await this.agent.destroy();
    }

    private sendRead(name: string, path: string, entryHost: string, timeoutMs: number): Promise<CallerEntry> {
        const { agent: dispatcher, clock, protocol } = this;
        const call = { name, kind: "read", method: "GET", path, headers: {}, body: undefined } as const;
        return sendCall(call, { clock, dispatcher, entryHost, attempt: 1, timeoutMs, protocol });
    }

    private async waitForAnswer(host: string, callers: string, path: string, until: number): Promise<void> {
        for (;;) {
            const name = `probe-${this.probes++}`;
            const { outcome, reason, status } = await this.sendRead(
                name,
                `${path}?call=${name}`,
                callers,
                PROBE_TIMEOUT_MS,
            );
            if (outcome === "answered") {
                return;
            }
            if (this.clock.now() > until) {
                const { lines } = this.system.hosts.get(host)!.program;
                const last = lines.slice(-DESCRIBED_LINES).join("\n");
                throw new Error(
                    `${path} is not served through ${host}: ${status} ${
                        reason ?? ""
                    }; it printed last:\n${last}`,
                );
            }
            await this.clock.sleep(POLL_MS);
        }
    }
}
