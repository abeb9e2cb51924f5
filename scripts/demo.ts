import { SystemClock } from "@arbutusdoor/common";
import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { CallLog } from "./callLog.js";
import { LocalSystem } from "./localSystem.js";
import { newLocalDeclaration } from "./newLocalDeclaration.js";
import { runTool } from "./runTool.js";

const clock = new SystemClock();

const SERVICES = [
    { service: "gustboard", dataCentres: ["north", "north", "north", "south", "south"] },
    { service: "agenda", dataCentres: ["north", "north", "south"] },
    { service: "shorepermit", dataCentres: ["north", "south"] },
    { service: "reservas", dataCentres: ["north", "south"] },
    { service: "loghold", dataCentres: ["north", "south"] },
    { service: "taller-fotos", dataCentres: ["north", "south"] },
];
const HOSTS = [
    { name: "entry-north-1", dataCentre: "north" },
    { name: "entry-north-2", dataCentre: "north" },
    { name: "entry-south-1", dataCentre: "south" },
];
const ROUNDS = 20;
const UPLOAD_BYTES = 2_000_000;
const LOST_KEY = "beach-windgate";
const RETRY_MS = 10;
const LOSS_LIMIT_MS = 15_000;

type Call = {
    readonly name: string;
    readonly method: string;
    readonly path: string;
    readonly body?: string;
};

const system = new LocalSystem(["--ready-delay-ms", "300"]);
const log = new CallLog();
const folder = mkdtempSync(join(tmpdir(), "arbutusdoor-demo-"));
let hasFailed = false;

try {
    await start();
    await submit();
    await sendAllKinds();
    await loseServer();
}
catch (error) {
    hasFailed = true;
    print(`the demo failed: ${String(error)}`);
}
await stop();
process.exit(hasFailed ? 1 : 0);

async function start(): Promise<void> {
    print("Starting the platform's stand-ins, 16 backend servers and 3 entry hosts in 2 data centres");
    await system.startPlatform();
    await Promise.all(
        SERVICES.flatMap(({ service, dataCentres }) =>
            dataCentres.map((_, index) =>
                system.startServer(`${service}-${index + 1}`, ["--service-ms", "2"])
            )
        ),
    );
    await system.startDaemons(HOSTS);
}

async function submit(): Promise<void> {
    const file = join(folder, "declaration.json");
    writeFileSync(file, newLocalDeclaration(system, SERVICES));
    await runAndPrint(["submit", file, "--base", "0"]);
    await runAndPrint(["status", "--wait"]);
}

async function sendAllKinds(): Promise<void> {
    print("Sending reads, once-only filings and uploads through every entry host");
    const upload = "x".repeat(UPLOAD_BYTES);
    for (let round = 0; round < ROUNDS; round++) {
        for (const [index, daemon] of [...system.daemons.values()].entries()) {
            const calls: Call[] = [
                { name: "gustboard read", method: "GET", path: `/gustboard/beach-${round}/now` },
                { name: "agenda read", method: "GET", path: `/agenda/luthier-${round}/week` },
                {
                    name: "shorepermit once",
                    method: "POST",
                    path: "/shorepermit/permits",
                    body: `permit ${round}`,
                },
                {
                    name: "reservas once",
                    method: "POST",
                    path: "/reservas/deposits",
                    body: `deposit ${round}`,
                },
                { name: "loghold upload", method: "PUT", path: `/loghold/log-${round}`, body: upload },
                {
                    name: "taller-fotos upload",
                    method: "PUT",
                    path: `/taller-fotos/crack-${round}`,
                    body: upload,
                },
            ];
            await Promise.all(calls.map(call => send(daemon.callers, call, `${round}-${index}`)));
        }
    }
    print("Outcomes and latency by class");
    log.print().forEach(line => print(line));
    for (const key of [LOST_KEY, "beach-1", "beach-2"]) {
        await runAndPrint(["explain", "gustboard", key]);
    }
}

async function send(
    callers: string,
    { name, method, path, body }: Call,
    idempotencyKey: string,
): Promise<string> {
    const beganAt = clock.now();
    const headers: Record<string, string> = name.endsWith("once")
        ? { "idempotency-key": idempotencyKey }
        : {};
    const response = await fetch(`http://${callers}${path}`, { method, body, headers });
    const text = await response.text();
    const outcome = response.headers.get("arbutusdoor-outcome") ?? "none";
    const reason = response.headers.get("arbutusdoor-reason");
    log.record(name, reason ? `${outcome} (${reason})` : outcome, clock.now() - beganAt);
    return outcome === "answered" ? (JSON.parse(text) as { server: string; }).server : "";
}

/** Kills the owner of a key with SIGKILL and calls until the key is served again. */
async function loseServer(): Promise<void> {
    const [daemon] = system.daemons.values();
    const call = { name: "after the loss", method: "GET", path: `/gustboard/${LOST_KEY}/now` };
    const owner = await send(daemon!.callers, call, "");
    print(`Killing ${owner}, which owns key ${LOST_KEY}`);
    await system.servers.get(owner)!.program.kill();
    const beganAt = clock.now();
    for (;;) {
        const next = await send(daemon!.callers, call, "");
        const elapsed = clock.now() - beganAt;
        if (next !== "") {
            print(`  ${LOST_KEY} is served again, by ${next}, ${elapsed.toFixed(0)} ms after the loss`);
            return;
        }
        if (elapsed > LOSS_LIMIT_MS) {
            throw new Error(`${LOST_KEY} was not served again`);
        }
        await new Promise(resolve => setTimeout(resolve, RETRY_MS));
    }
}

async function stop(): Promise<void> {
    print("Stopping gracefully");
    await system.stop();
    rmSync(folder, { recursive: true, force: true });
    for (const { name, program } of system.daemons.values()) {
        print(`  ${name} ended with exit code ${program.exitCode}`);
        hasFailed ||= program.exitCode !== 0;
    }
}

async function runAndPrint(words: readonly string[]): Promise<void> {
    const operators = [...system.daemons.values()].map(daemon => daemon.operators);
    const { lines, exitCode } = await runTool(operators, system.operatorToken, words);
    print(`$ arbutusdoor ${words.map(word => word.replace(folder, ".")).join(" ")}`);
    lines.forEach(line => print(`  ${line.replace(folder, ".")}`));
    if (exitCode !== 0) {
        throw new Error(`the tool ended with exit code ${exitCode}`);
    }
}

function print(line: string): void {
    process.stdout.write(`${line}\n`);
}
