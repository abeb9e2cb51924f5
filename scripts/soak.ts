import { RandomSource } from "@arbutusdoor/common";
import { cac } from "cac";
import { FailureRun } from "./failureRun.js";

const MS_PER_SECOND = 1_000;
const PAUSE_MS = 2_500;
const REST_MS = 500;

/** A failure and its end, so that a further one can follow. */
type Failure = (run: FailureRun, random: RandomSource) => Promise<void>;

const FAILURES: Readonly<Record<string, Failure>> = {
    killServer: async (run, random) => {
        const name = random.pick([...run.system.servers.keys()]);
        await run.killServer(name);
        await run.clock.sleep(random.nextInteger(PAUSE_MS));
        await run.system.restartServer(name);
    },
    pauseServer: async (run, random) => {
        const { program } = run.system.servers.get(random.pick([...run.system.servers.keys()]))!;
        await pause(run, random, program);
    },
    stopServer: async (run, random) => {
        const name = random.pick([...run.system.servers.keys()]);
        await run.stopServer(name);
        await run.system.restartServer(name);
    },
    killHost: async (run, random) => {
        const name = random.pick([...run.system.daemons.keys()]);
        await run.system.daemons.get(name)!.program.kill();
        await run.clock.sleep(random.nextInteger(PAUSE_MS));
        await run.restartHost(name);
    },
    pauseHost: async (run, random) => {
        const { program } = run.system.daemons.get(random.pick([...run.system.daemons.keys()]))!;
        await pause(run, random, program);
    },
    stopHost: async (run, random) => {
        const name = random.pick([...run.system.daemons.keys()]);
        await run.stopHost(name, async () => {});
        await run.restartHost(name);
    },
    platformOut: async (run, random) => {
        const { control } = run.system.platform.get(random.pick([...run.system.platform.keys()]))!;
        await run.system.setFaults(control, { down: random.pick(["refused", "unavailable"]) });
        await run.clock.sleep(random.nextInteger(PAUSE_MS));
        await run.system.setFaults(control, {});
    },
    answersLost: async (run, random) => {
        const { control } = run.system.platform.get("tableService")!;
        await run.system.setFaults(control, { answerLostAfterCommit: random.nextInteger(20) });
        await run.clock.sleep(random.nextInteger(PAUSE_MS));
        await run.system.setFaults(control, {});
    },
};

const cli = cac("soak");
cli.option("--seeds <number>", "runs, each with its own seed", { default: 1 });
cli.option("--first-seed <number>", "seed of the first run", { default: 1 });
cli.option("--seconds <number>", "time of failures in each run", { default: 30 });
cli.help();
const { options } = cli.parse();
if (!options.help) {
    const first = Number(options.firstSeed);
    for (let seed = first; seed < first + Number(options.seeds); seed++) {
        const isClean = await soak(seed, Number(options.seconds));
        process.exitCode = isClean ? process.exitCode : 1;
    }
}

/** Brings random failures about, one after the other under load, and judges the whole. */
async function soak(seed: number, seconds: number): Promise<boolean> {
    const run = new FailureRun();
    const random = new RandomSource(seed);
    const names: string[] = [];
    try {
        await run.start();
        const load = run.startLoad({ seed, seconds: 2 * seconds + 60 });
        const until = run.clock.now() + seconds * MS_PER_SECOND;
        while (run.clock.now() < until) {
            const name = random.pick(Object.keys(FAILURES));
            names.push(name);
            await FAILURES[name]!(run, random);
            await run.clock.sleep(REST_MS);
        }
        await run.waitUntilServed();
        await load.stop();
        const { isClean, findings, counts } = await run.judge();
        print({ seed, isClean, failures: names, counts, findings });
        return isClean;
    }
    catch (error) {
        const { findings } = await run.judge();
        print({ seed, isClean: false, failures: names, error: String(error), findings });
        return false;
    }
    finally {
        await run.stop();
    }
}

async function pause(
    run: FailureRun,
    random: RandomSource,
    program: { signal(name: NodeJS.Signals): void; },
): Promise<void> {
    program.signal("SIGSTOP");
    await run.clock.sleep(random.nextInteger(PAUSE_MS));
    program.signal("SIGCONT");
}

function print(result: object): void {
    process.stdout.write(`${JSON.stringify(result)}\n`);
}
