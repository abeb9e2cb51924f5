import { type CAC, cac } from "cac";
import type { Place } from "./place.js";
import type { StandIn } from "./standIn.js";

/** Values of the flags, as the command line gives them. */
type Flags = Readonly<Record<string, unknown>>;

/** How one kind of stand-in is made from its flags. */
type Program<Kind extends StandIn> = {
    readonly name: string;
    readonly addOptions: (cli: CAC) => void;
    readonly create: (flags: Flags, place: Place) => Kind;
    /** What SIGTERM and SIGINT do. */
    readonly stop: (standIn: Kind) => Promise<void>;
};

/** Runs a stand-in as a program: prints one JSON line with its addresses once it listens, and stops gracefully on SIGTERM. */
export async function runProgram<Kind extends StandIn>(program: Program<Kind>): Promise<void> {
    const cli = cac(program.name);
    cli.option("--host <host>", "IP number to listen at", { default: "127.0.0.1" });
    cli.option("--port <port>", "port; 0 takes a free one", { default: 0 });
    cli.option("--control-port <port>", "port of the control interface; 0 takes a free one", { default: 0 });
    program.addOptions(cli);
    cli.help();
    const { options } = cli.parse();
    if (options.help) {
        return;
    }
    const place = {
        host: String(options.host),
        port: Number(options.port),
        controlPort: Number(options.controlPort),
    };
    const standIn = program.create(options, place);
    await standIn.start();
    const line = { kind: program.name, address: standIn.address, controlAddress: standIn.controlAddress };
    process.stdout.write(`${JSON.stringify(line)}\n`);
    const stop = () => void program.stop(standIn);
    process.once("SIGTERM", stop);
    process.once("SIGINT", stop);
}
