import { SystemClock } from "@arbutusdoor/common";
import { runProgram } from "./common/runProgram.js";
import { RangeServerSettings } from "./rangeServer/rangeServerSettings.js";
import { RangeServerStandIn } from "./rangeServer/rangeServerStandIn.js";

await runProgram({
    name: "rangeServer",
    addOptions: cli => {
        cli.option("--server <name>", "name of the server");
        cli.option("--service <name>", "service that it is of");
        cli.option("--data-centre <name>", "data centre that it is in");
        cli.option("--store <address>", "control address of the store, where the server keeps its entry");
        cli.option(
            "--advertised <address>",
            "address in its entry, of a proxy before it; its own when left out",
        );
        cli.option("--keyed", "whether the service is divided by key");
        cli.option("--slots <number>", "requests that run at a time");
        cli.option("--service-ms <number>", "time that a request takes");
        cli.option("--drain-ms <number>", "time that a leaving server goes on serving");
    },
    create: (flags, place) => new RangeServerStandIn(new SystemClock(), readSettings(flags), place),
    stop: standIn => standIn.leave(),
});

function readSettings(flags: Readonly<Record<string, unknown>>): RangeServerSettings {
    const { advertised, dataCentre, drainMs, keyed, server, service, serviceMs, slots, store } = flags;
    return RangeServerSettings.parse({
        server,
        service,
        dataCentre,
        store,
        advertised,
        isKeyed: keyed === true,
        slots: readNumber(slots),
        serviceMs: readNumber(serviceMs),
        drainMs: readNumber(drainMs),
    });
}

function readNumber(value: unknown): number | undefined {
    return value === undefined ? undefined : Number(value);
}
