import { cac } from "cac";
import { FailureRun } from "./failureRun.js";
import { getLongestGap } from "./getLongestGap.js";

const PROBE_INTERVAL_MS = 100;
const PROBE_KEYS = 10;
const SETTLE_MS = 1_000;
const WATCH_MS = 5_000;
const OUTAGE_MS = 3_000;

/** A failure that is brought about once, and what it is called in docs/FAILURES.md. */
type Failure = {
    readonly name: string;
    readonly bringAbout: (run: FailureRun) => Promise<void>;
};

const FAILURES: readonly Failure[] = [
    { name: "nothing (for comparison)", bringAbout: async () => {} },
    {
        name: "kill -9 of a keyed backend server",
        bringAbout: async run => run.killServer(await getOwner(run)),
    },
    {
        name: "SIGSTOP of a keyed backend server",
        bringAbout: async run => run.system.servers.get(await getOwner(run))!.program.signal("SIGSTOP"),
    },
    {
        name: "kill -9 of the entry host that decides",
        bringAbout: async run => {
            const { deciders } = await run.getStatus();
            await run.system.daemons.get(deciders[0]!.host!)!.program.kill();
        },
    },
    {
        name: "kill -9 of the first grantor",
        bringAbout: async run => {
            await run.system.daemons.get(await getGrantor(run))!.program.kill();
        },
    },
    {
        name: "SIGSTOP of the first grantor",
        bringAbout: async run => {
            run.system.daemons.get(await getGrantor(run))!.program.signal("SIGSTOP");
        },
    },
    {
        name: `table service out for ${OUTAGE_MS} ms`,
        bringAbout: async run => {
            const { control } = run.system.platform.get("tableService")!;
            await run.system.setFaults(control, { down: "refused" });
            await run.clock.sleep(OUTAGE_MS);
            await run.system.setFaults(control, {});
        },
    },
    {
        name: "SIGTERM of an entry host",
        bringAbout: async run => {
            run.system.daemons.get(await getGrantor(run))!.program.signal("SIGTERM");
        },
    },
    {
        name: "SIGTERM of a keyed backend server",
        bringAbout: async run => {
            await run.stopServer(await getOwner(run));
        },
    },
    {
        name: "drain of a keyed backend server",
        bringAbout: async run => {
            await run.runTool(["drain", await getOwner(run)]);
        },
    },
];

const cli = cac("measureFailures");
cli.option("--only <text>", "failures whose name has this text");
cli.help();
const { options } = cli.parse();
if (!options.help) {
    for (const failure of FAILURES.filter(({ name }) => name.includes(String(options.only ?? "")))) {
        await measure(failure);
    }
}

/** Brings a failure about once, while each key is read again and again through each entry host, and prints what came of it. */
async function measure({ name, bringAbout }: Failure): Promise<void> {
    const run = new FailureRun();
    try {
        await run.start(["--service-ms", "1"]);
        const stopping = new AbortController();
        const probes = run.listLiveHosts().map(host => ({
            host,
            answers: probe(run, host.callers, stopping),
        }));
        const load = run.startLoad();
        await run.clock.sleep(SETTLE_MS);
        const beganAt = run.clock.now();
        await bringAbout(run);
        await run.clock.sleep(WATCH_MS);
        stopping.abort();
        const endedAt = run.clock.now();
        const liveHosts = new Set(run.listLiveHosts().map(host => host.name));
        const gaps: number[] = [];
        for (const { host, answers } of probes) {
            const times = await answers;
            if (liveHosts.has(host.name) && !isStopped(times, endedAt)) {
                gaps.push(...times.map(own => getLongestGap(own, beganAt, endedAt)));
            }
        }
        [...run.system.daemons.values(), ...run.system.servers.values()]
            .forEach(({ program }) => program.signal("SIGCONT"));
        const entries = await load.stop();
        const outcomes: Record<string, number> = {};
        for (const { kind, outcome, reason } of entries) {
            const label = `${kind} ${outcome}${reason ? ` (${reason})` : ""}`;
            outcomes[label] = (outcomes[label] ?? 0) + 1;
        }
        const { findings } = await run.judge();
        const longest = Math.round(Math.max(...gaps));
        print({ failure: name, longestGapMs: longest, keysProbed: gaps.length, outcomes, findings });
    }
    finally {
        await run.stop();
    }
}

/** Reads each key in turn until it is told to stop; the times of the answers, a list for each key. */
async function probe(run: FailureRun, callers: string, stopping: AbortController): Promise<number[][]> {
    return await Promise.all(
        Array.from({ length: PROBE_KEYS }, async (_, index) => {
            const times: number[] = [];
            while (!stopping.signal.aborted) {
                if (await isAnswered(`http://${callers}/gustboard/key-${index}/read`)) {
                    times.push(run.clock.now());
                }
                await run.clock.sleep(PROBE_INTERVAL_MS);
            }
            return times;
        }),
    );
}

async function isAnswered(url: string): Promise<boolean> {
    try {
        const response = await fetch(url, { signal: AbortSignal.timeout(SETTLE_MS) });
        await response.arrayBuffer();
        return response.headers.get("arbutusdoor-outcome") === "answered";
    }
    catch {
        return false;
    }
}

/** Whether an entry host was itself stopped or paused: no key was answered through it in the last second. */
function isStopped(times: readonly (readonly number[])[], endedAt: number): boolean {
    return times.every(own => (own.at(-1) ?? 0) < endedAt - SETTLE_MS);
}

async function getOwner(run: FailureRun): Promise<string> {
    return (await run.explain("gustboard", "key-0"))!.server!;
}

/** Entry host that requests of the key go by; there is none for a moment while a lease is not fresh. */
function getGrantor(run: FailureRun): Promise<string> {
    return run.waitFor("a grantor", async () => (await run.explain("gustboard", "key-0"))?.grantors[0]);
}

function print(result: object): void {
    process.stdout.write(`${JSON.stringify(result)}\n`);
}
