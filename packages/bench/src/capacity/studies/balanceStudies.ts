import type { ServerId, SliceId } from "@arbutusdoor/common";
import { RandomSource } from "@arbutusdoor/common";
import {
    type MovePlanInput,
    MovePlanSettings,
    planMoves,
    SliceLoad,
    SliceLoadSettings,
} from "@arbutusdoor/policy";
import { scaleSizes } from "../measure/scaleSizes.js";
import { timeCall } from "../measure/timeCall.js";
import { STUDIES } from "../studies.js";

const SLICES_PER_SERVER = 8;
const REQUESTS = 10_000;
const REPORT_BYTES_OF = JSON.stringify;

STUDIES.register({
    name: "balance-by-servers",
    question:
        "A plan of moves of one service, and the load figures of a grantor, against servers (8 slices each).",
    axis: "servers",
    run: options =>
        scaleSizes([250, 500, 1_000, 2_000], options).map(servers => measure(servers, options.seed)),
});

function measure(servers: number, seed: number): Readonly<Record<string, number>> {
    const random = new RandomSource(seed);
    const input = newInput(servers, random);
    const load = new SliceLoad(SliceLoadSettings.parse({}), 0);
    const slices = input.assignment.map(({ slice }) => slice);
    const recordUs = timeCall(() => {
        for (let request = 0; request < REQUESTS; request++) {
            const slice = slices[request % slices.length]!;
            load.record(slice, `key-${random.nextInteger(100_000)}`, 2, request / 10);
        }
    }) / REQUESTS;
    return {
        servers,
        "plan us": timeCall(() => planMoves(input)),
        "record us": recordUs,
        "report bytes": REPORT_BYTES_OF(load.getReport(1_000)).length,
    };
}

function newInput(servers: number, random: RandomSource): MovePlanInput {
    const names = [...Array(servers).keys()].map(index => `server-${index}` as ServerId);
    const assignment = [...Array(servers * SLICES_PER_SERVER).keys()].map(index => ({
        slice: `range-${index}` as SliceId,
        server: names[index % servers]!,
    }));
    return {
        assignment,
        loads: {
            slices: assignment.map(({ slice }) => ({ slice, load: random.nextFraction() })),
            topKeys: [],
        },
        servers: names.map(server => ({ server, slots: 4, state: "active" })),
        objective: { imbalance: 0.6, churn: 0.2, unavailability: 0.2, restMs: 30_000, movesPerMinute: 60 },
        now: 100_000,
        history: [],
        settings: MovePlanSettings.parse({}),
    };
}
