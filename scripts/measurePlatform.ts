import { Agent, request } from "undici";
import type { ChildProgram } from "./childProgram.js";
import { PlatformSystem } from "./platformSystem.js";
import { readCpuUs } from "./readCpuUs.js";
import { readMemoryBytes } from "./readMemoryBytes.js";

/**
 * Processor time and memory of the platform's program, as bundled, on the stand-ins: a start, an idle host, and requests of each kind just
 * after the start and later. A restarted host is measured like one that starts for the first time.
 */
const PROGRAM = new URL("../target/arbutusdoor.cjs", import.meta.url).pathname;
const SERVICES = [
    { name: "gustboard", isKeyed: true, kind: "safe", dataCentres: ["north", "north", "north"] },
    { name: "shorepermit", isKeyed: false, kind: "unsafe", dataCentres: ["north", "north"] },
    { name: "loghold", isKeyed: false, kind: "upload", dataCentres: ["north", "north"] },
] as const;
const HOSTS = { "north-1": "north", "north-2": "north" };
const UPLOAD = Buffer.alloc(60_000, "u");
const KINDS = [
    { name: "keyed read", service: "gustboard", method: "GET", body: undefined },
    { name: "pooled write", service: "shorepermit", method: "POST", body: Buffer.from("{}") },
    { name: "upload of 60 kB", service: "loghold", method: "POST", body: UPLOAD },
] as const;
const FIRST_REQUESTS = 100;
const LATER_REQUESTS = 3_000;
const CONNECTIONS = 16;
const KEYS = 40;
const KEY_STEP = 1_601;
const IDLE_MS = 5_000;
const SETTLE_MS = 6_000;
const MICROSECONDS_PER_MS = 1_000;
const BYTES_IN_MB = 1_048_576;
const PERCENT = 100;

type Kind = (typeof KINDS)[number];

const system = new PlatformSystem(SERVICES, PROGRAM);
const dispatcher = new Agent({ connections: CONNECTIONS, pipelining: 1 });
let requests = 0;
try {
    await system.start(HOSTS);
    printStart("first start");
    await sleep(SETTLE_MS);
    await measureIdle("idle before any request");
    await measureKinds("first", FIRST_REQUESTS);
    await measureKinds("later", LATER_REQUESTS);
    await measureIdle("idle after requests");
    await getHost("north-2").kill();
    await system.restartHost("north-2");
    printStart("restart");
}
finally {
    await dispatcher.destroy();
    await system.stop();
}
process.exit(0);

function getHost(name: keyof typeof HOSTS): ChildProgram {
    return system.hosts.get(name)!.program;
}

function printStart(title: string): void {
    const { pid } = getHost("north-2");
    print(`${title}: ${readCpuUs(pid) / MICROSECONDS_PER_MS} ms of processor time, ${formatMemory(pid)}`);
}

async function measureIdle(title: string): Promise<void> {
    const pids = [...system.hosts.values()].map(({ program }) => program.pid);
    const before = pids.map(readCpuUs);
    await sleep(IDLE_MS);
    const shares = pids.map((pid, index) =>
        `${((readCpuUs(pid) - before[index]!) / (IDLE_MS * MICROSECONDS_PER_MS) * PERCENT).toFixed(2)} %`
    );
    print(`${title}: ${shares.join(" and ")} of a core, ${pids.map(formatMemory).join(" and ")}`);
}

async function measureKinds(title: string, count: number): Promise<void> {
    const { pid } = getHost("north-2");
    for (const kind of KINDS) {
        const before = readCpuUs(pid);
        const answered = await sendAll(kind, count);
        const used = ((readCpuUs(pid) - before) / count).toFixed(0);
        print(
            `${title} ${count}, ${kind.name}: ${used} us a request, ${answered} answered, ${
                formatMemory(pid)
            }`,
        );
    }
}

async function sendAll({ body, method, service }: Kind, count: number): Promise<number> {
    const { callers } = system.hosts.get("north-2")!;
    let next = 0;
    let answered = 0;
    const work = async (): Promise<void> => {
        while (next < count) {
            const key = next++ % KEYS;
            const { statusCode, body: answer } = await request(
                `http://${callers}/${service}/key-${key}/now`,
                {
                    dispatcher,
                    method,
                    body,
                    headers: {
                        "host": system.authority,
                        "x-request-id": `m-${requests++}`,
                        "x-deadline-ms": "5000",
                        "x-shard-key": String(key * KEY_STEP),
                    },
                },
            );
            await answer.dump();
            answered += statusCode < 300 ? 1 : 0;
        }
    };
    await Promise.all(Array.from({ length: CONNECTIONS }, work));
    return answered;
}

function formatMemory(pid: number): string {
    return `${(readMemoryBytes(pid) / BYTES_IN_MB).toFixed(0)} MB`;
}

function sleep(period: number): Promise<void> {
    return new Promise(resolve => setTimeout(resolve, period));
}

function print(line: string): void {
    process.stdout.write(`${line}\n`);
}
