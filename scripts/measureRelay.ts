import { SystemClock } from "@arbutusdoor/common";
import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { Agent, request } from "undici";
import { ChildProgram } from "./childProgram.js";
import { LocalSystem } from "./localSystem.js";
import { newLocalDeclaration } from "./newLocalDeclaration.js";
import { readCpuUs } from "./readCpuUs.js";
import { readMemoryBytes } from "./readMemoryBytes.js";
import { runTool } from "./runTool.js";

const clock = new SystemClock();

/**
 * Processor time a request, memory and idle use of daemons, beside a bare pass-through of the same libraries in the
 * same run. Prints ratios that hold on a shared machine better than the times do.
 */
const PASS_THROUGH = new URL("../packages/bench/dist/wallClock/passThroughMain.js", import.meta.url).pathname;
const SERVERS = 4;
const CONNECTIONS = 48;
const REQUESTS = 4_000;
const WARM_UP_REQUESTS = 2_000;
const ROUNDS = 2;
const KEYS = 40;
const SLOTS = 48;
const IDLE_MS = 4_000;
const BYTES_IN_MB = 1_048_576;

/** Something that answers callers, and the processes that take part in it. */
type Subject = {
    readonly name: string;
    readonly address: string;
    readonly pids: readonly number[];
};

const folder = mkdtempSync(join(tmpdir(), "arbutusdoor-measure-"));
const dispatcher = new Agent({ connections: CONNECTIONS, pipelining: 1 });
const systems: LocalSystem[] = [];
let passThrough: ChildProgram | undefined;
try {
    await measure();
}
finally {
    await dispatcher.close();
    await passThrough?.stop();
    for (const system of systems) {
        await system.stop();
    }
    rmSync(folder, { recursive: true, force: true });
}
process.exit(0);

async function measure(): Promise<void> {
    const one = await startSystem(1);
    const two = await startSystem(2);
    const [target] = one.servers.values();
    passThrough = new ChildProgram("passThrough", PASS_THROUGH, ["--target", target!.address]);
    const { address } = JSON.parse(await passThrough.waitForLine(/"address"/)) as { address: string; };
    const subjects = [
        { name: "pass-through", address, pids: [passThrough.pid] },
        newSubject("one daemon", one, 0),
        newSubject("two daemons, callers at the first", two, 0),
        newSubject("two daemons, callers at the second", two, 1),
    ];
    for (const subject of subjects) {
        await send(subject, WARM_UP_REQUESTS);
    }
    for (let round = 1; round <= ROUNDS; round++) {
        for (const subject of subjects) {
            await measureRound(subject, round);
        }
    }
    await measureIdle(subjects);
}

async function startSystem(daemons: number): Promise<LocalSystem> {
    const system = new LocalSystem(["--ready-delay-ms", "300"]);
    systems.push(system);
    await system.startPlatform();
    const dataCentres = Array<string>(SERVERS).fill("north");
    for (const index of dataCentres.keys()) {
        await system.startServer(`gustboard-${index + 1}`, ["--service-ms", "1", "--slots", String(SLOTS)]);
    }
    await system.startDaemons(
        [...Array(daemons).keys()].map(index => ({ name: `entry-${index}`, dataCentre: "north" })),
    );
    const file = join(folder, `${daemons}.json`);
    writeFileSync(file, newLocalDeclaration(system, [{ service: "gustboard", dataCentres, slots: SLOTS }]));
    const operators = [...system.daemons.values()].map(daemon => daemon.operators);
    for (const words of [["submit", file, "--base", "0"], ["status", "--wait"]]) {
        const { exitCode, lines } = await runTool(operators, system.operatorToken, words);
        if (exitCode !== 0) {
            throw new Error(lines.join("\n"));
        }
    }
    return system;
}

function newSubject(name: string, system: LocalSystem, place: number): Subject {
    const daemons = [...system.daemons.values()];
    return { name, address: daemons[place]!.callers, pids: daemons.map(({ program }) => program.pid) };
}

async function measureRound(subject: Subject, round: number): Promise<void> {
    const before = subject.pids.map(readCpuUs);
    const beganAt = clock.now();
    const answered = await send(subject, REQUESTS);
    const elapsed = clock.now() - beganAt;
    const used = subject.pids.map((pid, index) => (readCpuUs(pid) - before[index]!) / REQUESTS);
    const memory = subject.pids.map(pid => (readMemoryBytes(pid) / BYTES_IN_MB).toFixed(0));
    const sum = used.reduce((total, cpu) => total + cpu, 0);
    const parts = used.map(cpu => cpu.toFixed(0)).join(" + ");
    print(
        `round ${round}, ${subject.name}: ${
            sum.toFixed(0)
        } us a request (${parts}), ${answered} of ${REQUESTS} `
            + `answered, ${(REQUESTS / elapsed * 1_000).toFixed(0)} a second, memory ${
                memory.join(" + ")
            } MB`,
    );
}

async function measureIdle(subjects: readonly Subject[]): Promise<void> {
    const before = subjects.map(({ pids }) => pids.map(readCpuUs));
    await new Promise(resolve => setTimeout(resolve, IDLE_MS));
    for (const [index, { name, pids }] of subjects.entries()) {
        const used = pids.map((pid, place) => (readCpuUs(pid) - before[index]![place]!) / (IDLE_MS * 10));
        print(`idle, ${name}: ${used.map(share => share.toFixed(2)).join(" + ")} % of a core`);
    }
}

async function send({ address }: Subject, count: number): Promise<number> {
    let next = 0;
    let answered = 0;
    const work = async (): Promise<void> => {
        while (next < count) {
            const path = `/gustboard/beach-${next++ % KEYS}/now`;
            const { statusCode, body } = await request(`http://${address}${path}`, { dispatcher });
            await body.dump();
            answered += statusCode < 300 ? 1 : 0;
        }
    };
    await Promise.all(Array.from({ length: CONNECTIONS }, work));
    return answered;
}

function print(line: string): void {
    process.stdout.write(`${line}\n`);
}
