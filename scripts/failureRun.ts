import { SystemClock } from "@arbutusdoor/common";
import { KeyExplanation, SystemStatus } from "@arbutusdoor/configuration";
import {
    type Call,
    type CallerEntry,
    CallerSettings,
    runCallers,
    sendCall,
    type ServerJournal,
    type Verdict,
} from "@arbutusdoor/standins";
import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { Agent } from "undici";
import * as z from "zod";
import { LocalSystem } from "./localSystem.js";
import { newLocalDeclaration } from "./newLocalDeclaration.js";
import { runTool } from "./runTool.js";
import { ServerRecords } from "./serverRecords.js";

const SERVICES = [
    { service: "gustboard", dataCentres: ["north", "north", "north"] },
    { service: "agenda", dataCentres: ["north", "north"] },
    { service: "shorepermit", dataCentres: ["north", "north"] },
    { service: "loghold", dataCentres: ["north", "north"] },
];
const HOSTS = ["north-1", "north-2", "north-3"].map(name => ({ name, dataCentre: "north" }));
const KEYED = ["gustboard", "agenda"];
const KEYS = 20;
const SERVED_LIMIT_MS = 20_000;
/** Lines of a host's output that an error repeats. */
const DESCRIBED_LINES = 20;
const POLL_MS = 50;
const CALL_TIMEOUT_MS = 15_000;
const LOAD_SECONDS = 120;
const LOAD_COUNT = 100_000;
const LOAD_RATE = 120;
const CALLERS_IN_FLIGHT = 200;
const UPLOAD_BYTES = 200_000;

/** Callers that run until they are stopped. */
type Load = {
    /** Sends nothing more, and resolves with what the callers saw once every request has ended. */
    readonly stop: () => Promise<readonly CallerEntry[]>;
};

/** A local system under load whose servers and callers are judged by the observer at the end. */
export class FailureRun {
    readonly system: LocalSystem;
    readonly clock = new SystemClock();
    readonly calls: CallerEntry[] = [];
    private readonly folder = mkdtempSync(join(tmpdir(), "arbutusdoor-run-"));
    private readonly agent = new Agent({ connections: CALLERS_IN_FLIGHT });
    private readonly records = new ServerRecords(this.clock);
    private loads = 0;

    /** @param flags further flags of every daemon */
    constructor(flags: readonly string[] = []) {
        this.system = new LocalSystem(["--ready-delay-ms", "500", ...flags]);
    }

    /** Starts the platform, nine backend servers and three entry hosts, and resolves once every key is served. */
    async start(serverFlags: readonly string[] = ["--service-ms", "5"]): Promise<void> {
        await this.system.startPlatform();
        const names = SERVICES.flatMap(({ service, dataCentres }) =>
            dataCentres.map((_, index) => `${service}-${index + 1}`)
        );
        await Promise.all(names.map(name => this.system.startServer(name, serverFlags)));
        await this.system.startDaemons(HOSTS);
        const { exitCode, lines } = await this.submit(0);
        if (exitCode !== 0) {
            throw new Error(`the declaration was not taken: ${lines.join("\n")}`);
        }
        await this.waitUntilServed();
    }

    /** Ends every process at once and removes what was written. Graceful stops are `stopHost` and `stopServer`. */
    async stop(): Promise<void> {
        const { daemons, servers, platform } = this.system;
        const all = [...daemons.values(), ...servers.values(), ...platform.values()];
        await Promise.all(all.map(({ program }) => program.kill()));
        await this.agent.destroy();
        rmSync(this.folder, { recursive: true, force: true });
    }

    /** Submits the declaration of the local system, with another number of slots for each server when one is given. */
    submit(base: number, slots?: number) {
        const services = SERVICES.map(service => slots === undefined ? service : { ...service, slots });
        const file = join(this.folder, `declaration-${base}-${slots ?? "any"}.json`);
        writeFileSync(file, newLocalDeclaration(this.system, services));
        return this.runTool(["submit", file, "--base", String(base)]);
    }

    /** Runs the command-line tool against the entry hosts that run. */
    runTool(words: readonly string[], hosts = this.listLiveHosts().map(host => host.operators)) {
        return runTool(hosts, this.system.operatorToken, words);
    }

    /** Begins to send reads, filings (with their repeats) and uploads to the entry hosts, to all that run by default. */
    startLoad(settings: Partial<z.input<typeof CallerSettings>> = {}): Load {
        const stopping = new AbortController();
        this.loads++;
        const parsed = CallerSettings.parse({
            seed: this.loads,
            name: "load",
            entryHosts: this.listLiveHosts().map(host => host.callers),
            reads: KEYED,
            filings: ["shorepermit", "agenda"],
            uploads: ["loghold"],
            count: LOAD_COUNT,
            seconds: LOAD_SECONDS,
            requestsPerSecond: LOAD_RATE,
            inFlight: CALLERS_IN_FLIGHT,
            keys: KEYS,
            uploadBytes: UPLOAD_BYTES,
            ...settings,
        });
        const running = runCallers(parsed, this.clock, stopping.signal);
        const stop = async () => {
            stopping.abort();
            const { entries } = await running;
            this.calls.push(...entries);
            return entries;
        };
        return { stop };
    }

    /** Sends one call, and keeps what the caller saw for the observer. */
    async send(entryHost: string, call: Call, attempt = 1): Promise<CallerEntry> {
        const parts = { clock: this.clock, dispatcher: this.agent, timeoutMs: CALL_TIMEOUT_MS };
        const entry = await sendCall(call, { ...parts, entryHost, attempt });
        this.calls.push(entry);
        return entry;
    }

    /** Kills a backend server; its journal up to then is kept, and what it did in its last moment is lost. */
    killServer(name: string): Promise<void> {
        return this.records.kill(name, this.system.servers.get(name)!);
    }

    /** Asks a backend server to stop, and resolves with its last journal once its process has ended. */
    stopServer(name: string): Promise<ServerJournal> {
        return this.records.stop(name, this.system.servers.get(name)!);
    }

    /** What a backend server that runs has recorded so far. */
    readServerJournal(name: string): Promise<ServerJournal> {
        return this.records.read(this.system.servers.get(name)!);
    }

    /** Asks an entry host to stop, and resolves with its exit code; `onNotReady` runs once it says that it is not ready. */
    async stopHost(name: string, onNotReady: () => Promise<unknown>): Promise<number | undefined> {
        const { program } = this.system.daemons.get(name)!;
        program.signal("SIGTERM");
        await this.waitFor(
            `${name} to be not ready`,
            async () => await this.isReady(name) ? undefined : true,
        );
        await onNotReady();
        await program.waitForEnd();
        return program.exitCode;
    }

    /** Starts an entry host again at its ports, and resolves once it is ready. */
    async restartHost(name: string): Promise<void> {
        await this.system.restartDaemon(name);
        await this.waitFor(`${name} to be ready`, async () => await this.isReady(name) || undefined);
    }

    /** Whether the balancer would send callers to an entry host. */
    async isReady(name: string): Promise<boolean> {
        const response = await fetch(`http://${this.system.daemons.get(name)!.monitor}/readyz`);
        await response.text();
        return response.ok;
    }

    /** The observer's verdict over everything that has happened in this run. Every load must have been stopped. */
    judge(): Promise<Verdict> {
        return this.records.judge(this.system.servers.values(), this.calls);
    }

    /** Resolves once every key and every pooled service is answered through every entry host that runs. */
    async waitUntilServed(): Promise<void> {
        const until = this.clock.now() + SERVED_LIMIT_MS;
        await Promise.all(
            this.listLiveHosts().flatMap(({ name, callers }) =>
                SERVICES.map(async ({ service }) => {
                    for (const path of listPaths(service)) {
                        await this.waitForAnswer(name, callers, path, until);
                    }
                })
            ),
        );
    }

    /** Resolves with the value of a question once it is not `undefined`; rejects after a while. */
    async waitFor<Value>(what: string, ask: () => Promise<Value | undefined>): Promise<Value> {
        const until = this.clock.now() + SERVED_LIMIT_MS;
        for (;;) {
            const value = await ask();
            if (value !== undefined) {
                return value;
            }
            if (this.clock.now() > until) {
                throw new Error(`waited too long for ${what}`);
            }
            await this.clock.sleep(POLL_MS);
        }
    }

    /** Where a key is, as an entry host that runs explains it. */
    async explain(service: string, key: string) {
        const { lines } = await this.runTool(["explain", service, key, "--json"]);
        const explanation = KeyExplanation.parse(JSON.parse(lines.at(-1) ?? "{}"));
        return explanation.kind === "keyed" ? explanation : undefined;
    }

    /** The system as an entry host sees it. */
    async getStatus(host = this.listLiveHosts()[0]!): Promise<SystemStatus> {
        const headers = { authorization: `Bearer ${this.system.operatorToken}` };
        const response = await fetch(`http://${host.operators}/v1/status`, { headers });
        return SystemStatus.parse(await response.json());
    }

    /** Value of a metric of an entry host, without labels. */
    async getMetric(host: string, name: string): Promise<number> {
        const response = await fetch(`http://${this.system.daemons.get(host)!.monitor}/metrics`);
        const text = await response.text();
        return Number(new RegExp(`^${name} (\\S+)$`, "m").exec(text)?.[1]);
    }

    /** Entry hosts whose process runs. */
    listLiveHosts() {
        return [...this.system.daemons.values()].filter(host => !host.program.hasEnded);
    }

    private async waitForAnswer(name: string, callers: string, path: string, until: number): Promise<void> {
        for (;;) {
            const outcome = await getOutcome(`http://${callers}${path}`);
            if (outcome === "answered") {
                return;
            }
            if (this.clock.now() > until) {
                throw new Error(`${path} is not served through ${name}: ${outcome}\n${this.describe(name)}`);
            }
            await this.clock.sleep(POLL_MS);
        }
    }

    /** Whether an entry host runs, and what it printed last. */
    private describe(name: string): string {
        const { program } = this.system.daemons.get(name)!;
        const state = program.hasEnded ? `ended with code ${program.exitCode ?? "none"}` : "runs";
        return [`${name} ${state}; it printed last:`, ...program.lines.slice(-DESCRIBED_LINES)].join("\n");
    }
}

/** A path for each key of a keyed service; one for a pooled service. */
function listPaths(service: string): string[] {
    const keys = KEYED.includes(service) ? KEYS : 1;
    return Array.from({ length: keys }, (_, index) => `/${service}/key-${index}/read`);
}

async function getOutcome(url: string): Promise<string> {
    try {
        const response = await fetch(url, { signal: AbortSignal.timeout(CALL_TIMEOUT_MS) });
        await response.arrayBuffer();
        const reason = response.headers.get("arbutusdoor-reason");
        return response.headers.get("arbutusdoor-outcome") + (reason ? ` (${reason})` : "");
    }
    catch (error) {
        return String(error);
    }
}
