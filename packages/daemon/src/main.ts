#!/usr/bin/env node
import { InputError, InvariantError, SystemClock } from "@arbutusdoor/common";
import { cac } from "cac";
import { createDaemon } from "./createDaemon.js";
import { DaemonSettings } from "./settings/daemonSettings.js";
import { getSettingName } from "./settings/getSettingName.js";
import { listSettings } from "./settings/listSettings.js";
import { readSettings } from "./settings/readSettings.js";
import { SECRET_SETTINGS } from "./settings/secretSettings.js";

type UngroupedName = keyof typeof DaemonSettings.shape;

const EXIT_FAILURE = 1;
const EXIT_USAGE = 2;

/** Reads the command-line flags; returns `undefined` when only help was requested. */
function readFlags(): Record<string, unknown> | undefined {
    const program = cac("arbutusdoord");
    for (
        const { fullName, group, name } of listSettings().filter(other =>
            !SECRET_SETTINGS.has(other.fullName)
        )
    ) {
        const { flag, variable } = getSettingName(fullName);
        const description = group === undefined
            ? DaemonSettings.shape[name as UngroupedName].description
            : undefined;
        program.option(`${flag} <value>`, `${description ?? "see docs/SETTINGS.md"} (${variable})`);
    }
    program.help();
    const { options, args } = program.parse(process.argv, { run: false });
    if (options["help"]) {
        return undefined;
    }
    if (args.length > 0) {
        throw new InputError(`settings cannot be taken:\n  "${args[0]}": only flags are taken`);
    }
    return Object.fromEntries(
        Object.entries(options).filter(([name]) => name !== "--" && name !== "help" && name !== "h"),
    );
}

async function run(): Promise<void> {
    const flags = readFlags();
    if (!flags) {
        return;
    }
    const clock = new SystemClock();
    const daemon = createDaemon(readSettings(flags, process.env), clock);
    const stop = () => {
        if (daemon.isStopping) {
            return;
        }
        daemon.logger.log("processStopping");
        void daemon.stop().then(outcome => {
            daemon.logger.log("processStopped", outcome);
            process.exit(0);
        });
    };
    // A signal without a handler would end the process under its requests, also during a stop.
    process.on("SIGTERM", stop);
    process.on("SIGINT", stop);
    process.on("SIGHUP", stop);
    process.on("uncaughtException", error => {
        daemon.logger.log("invariantBroken", { error: error.message, stack: error.stack });
        process.exit(EXIT_FAILURE);
    });
    await daemon.start();
    if (daemon.isStopping) {
        return;
    }
    const { host, dataCentre, callerPort, operatorPort, peerPort, monitorPort } = daemon.settings;
    daemon.logger.log("processStarted", {
        host,
        dataCentre,
        callerPort,
        operatorPort,
        peerPort,
        monitorPort,
    });
}

run().catch((error: unknown) => {
    const isInput = error instanceof InputError;
    const text = error instanceof Error && !(error instanceof InvariantError) ? error.message : String(error);
    process.stderr.write(`arbutusdoord: ${text}\n`);
    process.exit(isInput ? EXIT_USAGE : EXIT_FAILURE);
});
