import {
    type DataCentreId,
    type HostId,
    type HostIncarnation,
    Logger,
    Metrics,
    RandomSource,
    type RequestId,
    type ServerId,
    type ServiceId,
    type SliceId,
    SystemClock,
} from "@arbutusdoor/common";
import type { ClassId } from "@arbutusdoor/common";
import { Mesh, MeshHandler, MeshSettings, type RelayAnswer, type RelayRequest } from "@arbutusdoor/mesh";
import { Readable } from "node:stream";
import { buffer } from "node:stream/consumers";
import { collectGarbage } from "../measure/collectGarbage.js";
import { ProcessorTimer } from "../measure/processorTimer.js";
import { scaleSizes } from "../measure/scaleSizes.js";
import { STUDIES } from "../studies.js";
import type { StudyOptions } from "../studyOptions.js";

const REST_MS = 1_500;
const RELAYS = 4_000;
const AT_A_TIME = 32;
const ANSWER = Buffer.alloc(200, "a");
const KIBIBYTE = 1_024;

/** Answers every relayed request at once with a small body. */
class AnsweringHandler extends MeshHandler {
    override onPeerUp(): void {}
    override onPeerDown(): void {}
    override onControl(): void {}
    override async onRelay(): Promise<RelayAnswer> {
        return {
            kind: "answered",
            status: 200,
            headers: { "content-type": "text/plain" },
            body: Readable.from([ANSWER]),
        };
    }
}

STUDIES.register({
    name: "mesh-by-links",
    question:
        "One entry host with links over loopback; both ends of each link are in this process, so that a link's figures hold both.",
    axis: "links",
    run: async options => {
        const rows: Readonly<Record<string, number>>[] = [];
        for (const links of scaleSizes([8, 16, 32, 64], options)) {
            rows.push(await measureLinks(links, options));
        }
        return rows;
    },
});

async function measureLinks(links: number, options: StudyOptions): Promise<Readonly<Record<string, number>>> {
    const clock = new SystemClock();
    const idle = await measureRest(clock);
    const before = getMemory();
    const hub = newMesh(0, [], clock, options);
    const address = await hub.start();
    const spokes = [...Array(links).keys()].map(index => newMesh(index + 1, [address], clock, options));
    await Promise.all(spokes.map(spoke => spoke.start()));
    while (hub.listPeers().length < links) {
        await clock.sleep(20);
    }
    const memory = (getMemory() - before) / KIBIBYTE;
    const rest = await measureRest(clock);
    const relayUs = await measureRelays(hub, links, Math.max(AT_A_TIME, Math.round(RELAYS * options.scale)));
    await Promise.all([hub, ...spokes].map(mesh => mesh.close()));
    return { links, "memory KB": memory, "at rest us/s": rest - idle, "relay us": relayUs };
}

async function measureRest(clock: SystemClock): Promise<number> {
    const timer = new ProcessorTimer();
    await clock.sleep(REST_MS);
    return timer.processorUs / timer.elapsedSeconds;
}

function getMemory(): number {
    collectGarbage();
    const { heapUsed, external } = process.memoryUsage();
    return heapUsed + external;
}

async function measureRelays(hub: Mesh, links: number, count: number): Promise<number> {
    let next = 0;
    const work = async () => {
        while (next < count) {
            const number = next++;
            const answer = await hub.relay(
                `host-${1 + number % links}` as HostId,
                newRequest(number),
                undefined,
                new AbortController().signal,
            );
            if (answer.kind === "answered") {
                await buffer(answer.body);
            }
        }
    };
    const timer = new ProcessorTimer();
    await Promise.all([...Array(AT_A_TIME)].map(work));
    return timer.processorUs / count;
}

function newRequest(number: number): RelayRequest {
    return {
        id: `host-0-run.${number}` as RequestId,
        service: "board-0" as ServiceId,
        key: `key-${number}`,
        classId: "read" as ClassId,
        method: "GET",
        path: `/key-${number}/now`,
        headers: { accept: "application/json", "user-agent": "capacity" },
        deadline: 10_000,
        server: "server-1" as ServerId,
        slice: { service: "board-0" as ServiceId, slice: "range-1" as SliceId, generation: 1 },
        hasBody: false,
    };
}

function newMesh(number: number, seeds: readonly string[], clock: SystemClock, { seed }: StudyOptions): Mesh {
    const host = `host-${number}`;
    return new Mesh({
        self: {
            host: host as HostId,
            incarnation: `${host}-run` as HostIncarnation,
            dataCentre: "centre-0" as DataCentreId,
            address: "127.0.0.1:0",
        },
        listen: { host: "127.0.0.1", port: 0 },
        seeds,
        clock,
        random: new RandomSource(seed + number),
        logger: new Logger(clock, host, "silent"),
        metrics: new Metrics(),
        settings: MeshSettings.parse({}),
        handler: new AnsweringHandler(),
    });
}
