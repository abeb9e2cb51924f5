import { type HostId, RandomSource } from "@arbutusdoor/common";
import type { ServerQueueSettings } from "@arbutusdoor/policy";
import type { Fault } from "../simulation/fault.js";
import { newServers } from "../simulation/newServers.js";
import { runUntil } from "../simulation/runUntil.js";
import { SimulatedClock } from "../simulation/simulatedClock.js";
import { Imbalance } from "../statistics/imbalance.js";
import { Tally } from "../statistics/tally.js";
import { KeyedSystem } from "../systems/keyedSystem.js";
import type { QueueMode } from "../systems/queueMode.js";
import { SliceMap } from "../systems/sliceMap.js";
import { Arrivals } from "../workload/arrivals.js";
import { getCapacity } from "../workload/getCapacity.js";
import { KeySource } from "../workload/keySource.js";
import type { ServiceProfile } from "../workload/serviceProfile.js";

const HOSTS = 10;
const SLICES = 64;
const SETTLING_MS = 10_000;
const IMBALANCE_INTERVAL_MS = 1_000;
const NO_HOT_MOVE_MS = 1e9;

/** A run of a keyed service whose slices stay where they are. */
type KeyedRun = {
    readonly seed: number;
    readonly profile: ServiceProfile;
    /** Arrivals as a share of the capacity of all servers. */
    readonly use: number;
    readonly durationMs: number;
    readonly mode: "relay" | "nearest" | "direct";
    readonly limit: number;
    readonly queueMode: QueueMode;
    readonly faults?: readonly Fault[];
    readonly queue?: Partial<ServerQueueSettings>;
};

/** Outcomes of a run of a keyed service. */
type KeyedFigures = {
    readonly tally: Tally;
    readonly imbalance: Imbalance;
    /** Slot time of timely answers over the slot time that there was. */
    readonly goodput: number;
    /** Most connections that any server had. */
    readonly peakConnections: number;
    /** Most requests that any server had at a time, running or waiting inside it. */
    readonly peakPresent: number;
    readonly falseRefusals: number;
    readonly repeated: number;
};

/** Runs a keyed service with ten entry hosts. */
export async function runKeyed(run: KeyedRun): Promise<KeyedFigures> {
    const clock = new SimulatedClock();
    const random = new RandomSource(run.seed);
    const servers = newServers(clock, run.profile, run.faults ?? []);
    const slices = new SliceMap(SLICES, servers.map(({ id }) => id));
    const system = new KeyedSystem(clock, servers, slices, run);
    const tally = new Tally(run.durationMs);
    const imbalance = new Imbalance(clock, servers, IMBALANCE_INTERVAL_MS);
    const keys = new KeySource(run.profile, random, NO_HOT_MOVE_MS);
    const arrivals = new Arrivals(clock, random, run.profile, keys);
    let requests = 0;
    arrivals.start(run.use * getCapacity(run.profile), run.durationMs, request => {
        const host = `host-${requests++ % HOSTS}` as HostId;
        void system.handle(request, host).then(outcome => tally.record(outcome));
    });
    await runUntil(clock, run.durationMs);
    imbalance.stop();
    await runUntil(clock, run.durationMs + SETTLING_MS);
    return {
        tally,
        imbalance,
        goodput: tally.getGoodput(run.profile.servers * run.profile.slots),
        peakConnections: Math.max(...servers.map(server => server.peakConnections)),
        peakPresent: Math.max(...servers.map(server => server.peakPresent)),
        falseRefusals: tally.countFalseRefusals(servers),
        repeated: tally.countRepeated(servers),
    };
}
