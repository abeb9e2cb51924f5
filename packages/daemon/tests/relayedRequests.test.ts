import {
    type ClassId,
    Logger,
    Metrics,
    RandomSource,
    type RequestId,
    type ServiceId,
    SystemClock,
} from "@arbutusdoor/common";
import type { RelayAnswer, RelayRequest } from "@arbutusdoor/mesh";
import { once } from "node:events";
import { type AddressInfo, createServer } from "node:net";
import { Readable } from "node:stream";
import { text } from "node:stream/consumers";
import { afterEach, expect, test, vi } from "vitest";
import { ConfigurationPlugin } from "../src/configuration/configurationPlugin.js";
import { Kernel } from "../src/kernel/kernel.js";
import { OwnershipPlugin } from "../src/ownership/ownershipPlugin.js";
import { PeersPlugin } from "../src/peers/peersPlugin.js";
import { PEERS } from "../src/peers/peersService.js";
import { PlatformPlugin } from "../src/platform/platformPlugin.js";
import { readSettings } from "../src/settings/readSettings.js";

const LOOPBACK = "127.0.0.1";
const CLOSE_TIMEOUT_MS = 100;
const READY_DELAY_MS = 100;
/** Longer than the links wait for requests in progress when they are closed. */
const WORK_MS = 1_500;
const DEADLINE_MS = 5_000;

const clock = new SystemClock();
const kernels: Kernel[] = [];

afterEach(async () => {
    await Promise.all(kernels.splice(0).map(kernel => kernel.stop()));
});

// Guards against requests of other hosts that were cut off with the links, although the stop had time left for them.
test("a host that stops answers the requests that its peers relayed to it, and refuses new ones", async () => {
    const stopping = await startHost("entry-1");
    const other = await startHost("entry-2", stopping.get(PEERS).self.address);
    await vi.waitUntil(() => other.get(PEERS).list().length > 0);
    stopping.get(PEERS).onRelayed(async (): Promise<RelayAnswer> => {
        await clock.sleep(WORK_MS);
        return { kind: "answered", status: 200, headers: {}, body: Readable.from(["whole"]) };
    });
    const early = relay(other, stopping, "early");
    await clock.sleep(CLOSE_TIMEOUT_MS);
    const stopped = stopping.stop();
    await clock.sleep(WORK_MS / 2);
    const late = await relay(other, stopping, "late");
    expect([late, await early]).toEqual(["notRun stopping", "answered whole"]);
    expect(await stopped).toMatchObject({ cause: "drained" });
});

async function startHost(host: string, seed = ""): Promise<Kernel> {
    const platform = `http://${LOOPBACK}:${await findFreePort()}`;
    const settings = readSettings({
        host,
        dataCentre: "north",
        tableService: platform,
        objectStore: platform,
        hostList: platform,
        peerPort: String(await findFreePort()),
        seeds: seed,
        readyDelayMs: String(READY_DELAY_MS),
        ownerWaitMs: String(READY_DELAY_MS),
        meshCloseTimeoutMs: String(CLOSE_TIMEOUT_MS),
    }, { ARBUTUSDOOR_OPERATOR_TOKEN: "a-token-of-operators" });
    const kernel = new Kernel({
        settings,
        clock,
        random: new RandomSource(1),
        logger: new Logger(clock, host, "silent"),
        metrics: new Metrics(),
    }, [new PlatformPlugin(), new PeersPlugin(), new ConfigurationPlugin(), new OwnershipPlugin()]);
    await kernel.start();
    kernels.push(kernel);
    return kernel;
}

async function findFreePort(): Promise<number> {
    const server = createServer().listen(0, LOOPBACK);
    await once(server, "listening");
    const { port } = server.address() as AddressInfo;
    server.close();
    await once(server, "close");
    return port;
}

async function relay(from: Kernel, to: Kernel, id: string): Promise<string> {
    const request: RelayRequest = {
        id: id as RequestId,
        service: "board" as ServiceId,
        key: "beach",
        classId: "read" as ClassId,
        method: "GET",
        path: "/board/beach",
        headers: {},
        deadline: DEADLINE_MS,
        server: undefined,
        slice: undefined,
        hasBody: false,
    };
    const { signal } = new AbortController();
    const answer = await from.get(PEERS).relay(to.get(PEERS).self.host, request, undefined, signal);
    return answer.kind === "answered"
        ? `answered ${await text(answer.body)}`
        : `${answer.refusal.outcome} ${answer.refusal.reason}`;
}
