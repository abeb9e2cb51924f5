#!/usr/bin/env node
import { type OperationId, SystemClock } from "@arbutusdoor/common";
import { randomUUID } from "node:crypto";
import { EXIT_CODES } from "./exitCodes.js";
import { runTool } from "./runTool.js";
import { ProcessTerminal } from "./terminal/processTerminal.js";

const terminal = new ProcessTerminal();
process.stdout.once("error", () => process.exit(EXIT_CODES.unknown.code));
try {
    process.exitCode = await runTool(process.argv.slice(2), {
        environment: process.env,
        terminal,
        clock: new SystemClock(),
        createOperationId: () => randomUUID() as OperationId,
    });
}
catch (error) {
    terminal.printError(`the tool failed: ${(error as Error).message}`);
    process.exitCode = EXIT_CODES.unknown.code;
}
