import { cac } from "cac";
import { soakPlatform } from "./soakPlatform.js";

const MS_PER_SECOND = 1_000;

const cli = cac("soak");
cli.option("--seeds <number>", "runs, each with its own seed", { default: 1 });
cli.option("--first-seed <number>", "seed of the first run", { default: 1 });
cli.option("--seconds <number>", "time of failures in each run", { default: 30 });
cli.option("--notices", "servers also say in their answers that they leave or want no requests for a time");
cli.option(
    "--disruptions",
    "servers are also isolated, the registry gets entries of another writer, and hosts are stopped while long requests are at work",
);
cli.option(
    "--answers",
    "servers also send answers a second time, or have no room, and callers begin a head behind a request at work",
);
cli.option("--stops", "hosts are stopped while callers of many habits use them, and have no other faults");
cli.option(
    "--restores",
    "the store also ends for a while and comes back from a copy that is some seconds old",
);
cli.option("--program <file>", "program of the hosts; that of this build when left out");
cli.help();
const { options } = cli.parse();
if (!options.help) {
    const first = Number(options.firstSeed);
    for (let seed = first; seed < first + Number(options.seeds); seed++) {
        const result = await soakPlatform(
            seed,
            Number(options.seconds) * MS_PER_SECOND,
            {
                hasNotices: Boolean(options.notices),
                hasDisruptions: Boolean(options.disruptions),
                hasSecondAnswers: Boolean(options.answers),
                hasStops: Boolean(options.stops),
                hasRestores: Boolean(options.restores),
            },
            options.program === undefined ? undefined : String(options.program),
        );
        process.stdout.write(`${JSON.stringify(result)}\n`);
        process.exitCode = result.isClean ? process.exitCode : 1;
    }
}
