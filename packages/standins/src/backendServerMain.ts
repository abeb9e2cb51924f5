import { SystemClock } from "@arbutusdoor/common";
import { BackendSettings } from "./backendServer/backendSettings.js";
import { BackendStandIn } from "./backendServer/backendStandIn.js";
import { runProgram } from "./common/runProgram.js";

const RADIX = 36;

const clock = new SystemClock();

/** Flags of the same name as the settings, but in the form that a command line has. */
const NUMBER_FLAGS = {
    "seed": "seed of the random numbers",
    "slots": "requests that run at a time",
    "waiting-limit": "requests that wait for a slot",
    "service-ms": "time that a request takes",
    "jitter": "share of the service time by which it varies",
    "cold-factor": "how many times longer a request takes in a cold start",
    "cold-start-ms": "time of the cold start at the beginning",
    "clock-offset-ms": "difference between the server's own clock and the machine's",
    "journal-limit": "entries kept in the journal",
    "leave-notice-ms": "time that a stopping server goes on taking requests",
    "leave-limit-ms": "time after which a stopping server no longer waits for its slices to move",
};

await runProgram({
    name: "backendServer",
    addOptions: cli => {
        cli.option("--server <name>", "name of the server");
        cli.option("--incarnation <name>", "name of this run of the server");
        cli.option("--checks-orders <true|false>", "whether orders and generations are checked", {
            default: "true",
        });
        for (const [flag, text] of Object.entries(NUMBER_FLAGS)) {
            cli.option(`--${flag} <number>`, text);
        }
    },
    create: (flags, place) => new BackendStandIn(clock, getSettings(flags), place),
    stop: standIn => standIn.leave(),
});

function getSettings(flags: Readonly<Record<string, unknown>>): BackendSettings {
    const numbers = Object.keys(NUMBER_FLAGS)
        .map(flag => flag.replace(/-([a-z])/g, (...[, letter]: string[]) => letter!.toUpperCase()))
        .filter(name => flags[name] !== undefined)
        .map(name => [name, Number(flags[name])]);
    const server = String(flags.server ?? "server");
    const run = `${Math.floor(clock.wallTime()).toString(RADIX)}-${process.pid}`;
    return BackendSettings.parse({
        ...Object.fromEntries(numbers),
        server,
        incarnation: String(flags.incarnation ?? `${server}-${run}`),
        checksOrders: String(flags.checksOrders) !== "false",
    });
}
