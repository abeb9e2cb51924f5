import { RandomSource } from "@arbutusdoor/common";
import { getHostLimit, PoolPickerSettings } from "@arbutusdoor/policy";
import type { Fault } from "../simulation/fault.js";
import { newServers } from "../simulation/newServers.js";
import { runUntil } from "../simulation/runUntil.js";
import { SimulatedClock } from "../simulation/simulatedClock.js";
import { Imbalance } from "../statistics/imbalance.js";
import { Tally } from "../statistics/tally.js";
import { PooledHost } from "../systems/pooledHost.js";
import type { RetryMode } from "../systems/retryMode.js";
import { Arrivals } from "../workload/arrivals.js";
import { getCapacity } from "../workload/getCapacity.js";
import { KeySource } from "../workload/keySource.js";
import type { ServiceProfile } from "../workload/serviceProfile.js";

const HOSTS = 10;
const SETTLING_MS = 35_000;
const IMBALANCE_INTERVAL_MS = 500;
const NO_HOT_MOVE_MS = 1e9;

/** A run of a pooled service. */
type PooledRun = {
    readonly seed: number;
    readonly profile: ServiceProfile;
    /** Arrivals as a share of the capacity of healthy servers. */
    readonly use: number;
    readonly durationMs: number;
    readonly faults: readonly Fault[];
    readonly picker: Partial<PoolPickerSettings>;
    readonly limit?: number;
    readonly retryMode?: RetryMode;
    readonly attemptTimeoutMs?: number;
    /** Faults strike all servers instead of one. */
    readonly isEverywhere?: boolean;
    /** Share of the requests that arrive at the first host; the others share the rest evenly. */
    readonly firstHostShare?: number;
};

/** Outcomes of a run of a pooled service. */
type PooledFigures = {
    readonly tally: Tally;
    readonly imbalance: Imbalance;
    readonly attempts: number;
    readonly requests: number;
    readonly falseRefusals: number;
    readonly repeated: number;
    readonly peakConnections: number;
};

/** Runs a pooled service with ten entry hosts, each deciding by itself. */
export async function runPooled(run: PooledRun): Promise<PooledFigures> {
    const clock = new SimulatedClock();
    const random = new RandomSource(run.seed);
    const servers = newServers(clock, run.profile, run.faults, run.isEverywhere);
    const settings = {
        picker: PoolPickerSettings.parse(run.picker),
        limit: run.limit ?? getHostLimit(run.profile, HOSTS, HOSTS - 1),
        retryMode: run.retryMode ?? "budget",
        attemptTimeout: run.attemptTimeoutMs,
    };
    const hosts = [...Array(HOSTS).keys()].map(index =>
        new PooledHost(clock, new RandomSource(run.seed * 1_000 + index), servers, settings)
    );
    const tally = new Tally(run.durationMs);
    const imbalance = new Imbalance(clock, servers, IMBALANCE_INTERVAL_MS);
    const keys = new KeySource(run.profile, random, NO_HOT_MOVE_MS);
    const arrivals = new Arrivals(clock, random, run.profile, keys);
    const placing = new RandomSource(run.seed + 1);
    let requests = 0;
    arrivals.start(run.use * getCapacity(run.profile), run.durationMs, request => {
        const isForFirst = placing.nextFraction() < (run.firstHostShare ?? 1 / HOSTS);
        const host = hosts[isForFirst ? 0 : 1 + requests % (HOSTS - 1)]!;
        requests++;
        void host.handle(request).then(outcome => tally.record(outcome));
    });
    await runUntil(clock, run.durationMs);
    imbalance.stop();
    await runUntil(clock, run.durationMs + SETTLING_MS);
    return {
        tally,
        imbalance,
        requests,
        attempts: hosts.reduce((sum, { attempts }) => sum + attempts, 0),
        falseRefusals: tally.countFalseRefusals(servers),
        repeated: tally.countRepeated(servers),
        peakConnections: Math.max(...servers.map(server => server.peakConnections)),
    };
}
