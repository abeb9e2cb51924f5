import { type HostId, RandomSource } from "@arbutusdoor/common";
import type { Objective } from "@arbutusdoor/configuration";
import {
    type Move,
    type MovePlanInput,
    MovePlanSettings,
    type ServerQueueSettings,
    SliceLoad,
    SliceLoadSettings,
} from "@arbutusdoor/policy";
import { newServers } from "../simulation/newServers.js";
import { runUntil } from "../simulation/runUntil.js";
import { SimulatedClock } from "../simulation/simulatedClock.js";
import { Imbalance } from "../statistics/imbalance.js";
import { Tally } from "../statistics/tally.js";
import { KeyedSystem } from "../systems/keyedSystem.js";
import { Mover } from "../systems/mover.js";
import { SliceMap } from "../systems/sliceMap.js";
import { Arrivals } from "../workload/arrivals.js";
import { getCapacity } from "../workload/getCapacity.js";
import { KeySource } from "../workload/keySource.js";
import type { ServiceProfile } from "../workload/serviceProfile.js";

const SLICES = 64;
/** Requests beyond the slots that are on their way to the server. */
const ON_THE_WAY = 1;
const PLAN_INTERVAL_MS = 1_000;
const IMBALANCE_INTERVAL_MS = 5_000;
const SETTLING_MS = 5_000;
const MS_IN_HOUR = 3_600_000;

/** A run of a keyed service whose hot key moves and whose slices may follow. */
type RebalancingRun = {
    readonly seed: number;
    readonly profile: ServiceProfile;
    readonly use: number;
    readonly durationMs: number;
    readonly hotIntervalMs: number;
    readonly objective: Objective;
    readonly plan: (input: MovePlanInput) => Move[];
    readonly settings?: Partial<MovePlanSettings>;
    readonly loadSettings?: Partial<SliceLoadSettings>;
    readonly queue?: Partial<ServerQueueSettings>;
};

/** Outcomes of such a run. */
type RebalancingFigures = {
    readonly tally: Tally;
    readonly imbalance: Imbalance;
    readonly moves: number;
    readonly splits: number;
    /** Times an hour that the whole key space changes owner. */
    readonly churnPerHour: number;
    /** Mean time in ms an hour that a key can't be served because it moves. */
    readonly unavailableMsPerHour: number;
    readonly falseRefusals: number;
};

/** Runs a keyed service with a decider that looks once a second. */
export async function runRebalancing(run: RebalancingRun): Promise<RebalancingFigures> {
    const clock = new SimulatedClock();
    const random = new RandomSource(run.seed);
    const servers = newServers(clock, run.profile, []);
    const slices = new SliceMap(SLICES, servers.map(({ id }) => id));
    const system = new KeyedSystem(clock, servers, slices, {
        mode: "relay",
        limit: run.profile.slots + ON_THE_WAY,
        queueMode: "admission",
        queue: run.queue,
    });
    const load = new SliceLoad(SliceLoadSettings.parse(run.loadSettings ?? {}), 0);
    system.onServed = (request, slice, duration) => load.record(slice, request.key, duration, clock.now());
    const mover = new Mover(clock, new RandomSource(run.seed + 1), system, slices, run.profile.keys);
    const settings = MovePlanSettings.parse(run.settings ?? {});
    let splits = 0;
    const decide = (): void => {
        const moves = run.plan({
            assignment: slices.list(run.profile.keys).map(placed => ({
                ...placed,
                isPinned: system.moving.has(placed.slice),
            })),
            loads: load.getReport(clock.now()),
            servers: servers.map(({ id, slots }) => ({ server: id, slots, state: "active" })),
            objective: run.objective,
            now: clock.now(),
            history: mover.moved,
            settings,
        });
        for (const move of moves) {
            splits += move.kind === "split" ? 1 : 0;
            mover.carryOut(move);
        }
        clock.schedule(PLAN_INTERVAL_MS, decide);
    };
    clock.schedule(PLAN_INTERVAL_MS, decide);

    const tally = new Tally(run.durationMs);
    const imbalance = new Imbalance(clock, servers, IMBALANCE_INTERVAL_MS);
    const keys = new KeySource(run.profile, random, run.hotIntervalMs);
    const arrivals = new Arrivals(clock, random, run.profile, keys);
    arrivals.start(run.use * getCapacity(run.profile), run.durationMs, request => {
        void system.handle(request, "host-0" as HostId).then(outcome => tally.record(outcome));
    });
    await runUntil(clock, run.durationMs);
    imbalance.stop();
    await runUntil(clock, run.durationMs + SETTLING_MS);
    const hours = run.durationMs / MS_IN_HOUR;
    return {
        tally,
        imbalance,
        splits,
        moves: mover.moved.length,
        churnPerHour: mover.keyShareMoved / hours,
        unavailableMsPerHour: mover.unavailableMs / hours,
        falseRefusals: tally.countFalseRefusals(servers),
    };
}
