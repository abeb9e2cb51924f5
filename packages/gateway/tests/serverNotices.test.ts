import {
    type HostId,
    type HostIncarnation,
    Logger,
    ManualClock,
    Metrics,
    type Milliseconds,
    RandomSource,
    type RequestId,
    type ServerId,
    type ServiceId,
} from "@arbutusdoor/common";
import { expect, test } from "vitest";
import type { RegisteredServer } from "../src/discovery/registeredServer.js";
import { ServerDirectory } from "../src/discovery/serverDirectory.js";
import { HostReport } from "../src/links/hostReport.js";
import type { KeyOrders } from "../src/orders/keyOrders.js";
import { KeyCoordinator } from "../src/ownership/keyCoordinator.js";
import type { KeyOrder } from "../src/ownership/keyOrder.js";
import { OrderDispatch } from "../src/ownership/orderDispatch.js";
import { ServerLiveness } from "../src/ownership/serverLiveness.js";
import type { GatewayReply } from "../src/requests/gatewayReply.js";
import type { RequestRouter } from "../src/requests/requestRouter.js";
import { LoadReporter } from "../src/routing/loadReporter.js";
import { QuietServers } from "../src/routing/quietServers.js";
import { StoreClock } from "../src/store/storeClock.js";
import { TableView } from "../src/store/tableView.js";
import { createAdmission } from "./support/createAdmission.js";
import { createRegisteredServer } from "./support/createRegisteredServer.js";
import { createRoute } from "./support/createRoute.js";
import { createRouter } from "./support/createRouter.js";
import { ScriptedBackends } from "./support/scriptedBackends.js";
import type { ScriptedBehaviour } from "./support/scriptedBehaviour.js";

const KEY = 7;
const LIMIT_MS = 1_700;
const QUIET_MS = 1_000;
type CoordinatorParts = ConstructorParameters<typeof KeyCoordinator>[0];

const LEAVING = { isLeaving: true, quietMs: undefined, ignored: [] };

/** A router for servers `a`, `b` and `c`, of which `a` owns all keys, with backends that follow a script. */
function start(steps: readonly ScriptedBehaviour[]) {
    const clock = new ManualClock();
    const backends = new ScriptedBackends(steps);
    const servers = new TableView<RegisteredServer>();
    const loads = new LoadReporter("h" as HostId, "h-1" as HostIncarnation);
    const router = createRouter({ clock, backends, servers, loads });
    return { clock, backends, servers, router, loads };
}

/** Routes a request, for a key or for any server, and advances the clock until it has its reply. */
async function route(
    router: RequestRouter,
    clock: ManualClock,
    key: number | undefined,
): Promise<{ readonly reply: GatewayReply; readonly tookMs: Milliseconds; }> {
    const arrivedAt = clock.now();
    let reply: GatewayReply | undefined;
    void router.route({
        id: "r1" as RequestId,
        configurationVersion: 1,
        route: createRoute({ isIdempotent: false, timeoutMs: 3_000 }),
        service: { id: "board" as ServiceId, maxConnections: 100, isKeyed: key !== undefined, coldKeysMs: 0 },
        key,
        method: "GET",
        path: "/x",
        headers: {},
        body: { kind: "none" },
        arrivedAt,
        deadlineAt: arrivedAt + 3_000,
        callerGone: new AbortController().signal,
    }).then(result => {
        reply = result;
    });
    while (!reply) {
        await new Promise(setImmediate);
        if (!reply) {
            clock.advance(10);
        }
    }
    return { reply, tookMs: clock.now() - arrivedAt };
}

function listServers({ sent }: ScriptedBackends): readonly string[] {
    return sent.map(line => line.split(" ")[0]!);
}

// Guards against requests to a server that said in an answer that it leaves, while the registry does not tell so.
test("an owner that says that it leaves gets requests until the limit, without word of the store", async () => {
    const { backends, clock, loads, router } = start(["leaving"]);
    await route(router, clock, KEY);
    expect(loads.flush().leaving).toEqual([["a", 1]]);
    clock.advance(LIMIT_MS - 100);
    expect((await route(router, clock, KEY)).reply).toMatchObject({ kind: "answer" });
    clock.advance(100);
    expect((await route(router, clock, KEY)).reply).toMatchObject({ status: 503, reason: "keyMoving" });
    expect(listServers(backends)).toEqual(["a", "a"]);
});

test("a pooled server that says that it leaves gets no further request", async () => {
    const { backends, clock, router } = start(["leaving"]);
    for (let request = 0; request < 12; request++) {
        await route(router, clock, undefined);
    }
    const [first, ...others] = listServers(backends);
    expect(others).not.toContain(first);
});

test.each<[string, Partial<RegisteredServer>, boolean]>([
    ["the same incarnation", { startedAt: 5 }, true],
    ["an older incarnation", { startedAt: 4 }, true],
    ["a newer incarnation", { startedAt: 6 }, false],
])(
    "when the registry then says that %s is ready, the server counts as leaving: %#",
    (_, parts, isLeaving) => {
        const view = new TableView<RegisteredServer>();
        const directory = new ServerDirectory(view, new ManualClock());
        const put = (version: number, server: RegisteredServer) =>
            view.applyChanges(version - 1, [{
                key: server.id,
                version,
                content: { kind: "value", value: server },
            }], version);
        view.applySnapshot([], 1);
        const server = createRegisteredServer("a", { startedAt: 5 });
        put(2, server);
        directory.recordAnnouncement(server, "answer");
        put(3, { ...server, ...parts });
        expect(directory.getMaxLeavingTime(server.id) !== undefined).toBe(isLeaving);
        expect(directory.listReady(server.service).length).toBe(isLeaving ? 0 : 1);
    },
);

// Guards against a limit that counts from a server's own word although the registry had told of its leave before, which is learned late.
test("of a server's own word and the registry's, the earlier one counts", () => {
    const clock = new ManualClock(10_000);
    const view = new TableView<RegisteredServer>(new StoreClock(clock));
    const directory = new ServerDirectory(view, clock);
    const server = createRegisteredServer("a");
    const read = (version: number, value: RegisteredServer, completeAt: Milliseconds) => {
        const origin = {
            source: "store",
            changedAfter: undefined,
            completeAt,
            isAfterOutage: false,
        } as const;
        view.applyChanges(
            version - 1,
            [{ key: "a", version, content: { kind: "value", value } }],
            version,
            origin,
        );
    };
    view.applySnapshot([], 1);
    read(2, server, 10_000);
    clock.advance(900);
    directory.recordAnnouncement(server, "answer");
    clock.advance(300);
    read(3, { ...server, isDraining: true }, 10_100);
    expect(directory.getMaxLeavingTime(server.id)).toBe(1_200);
    expect(directory.getLeavingTime(server.id)).toBe(300);
    read(4, { ...server, isDraining: true, warmupLeftMs: 1 }, 11_200);
    expect(directory.getMaxLeavingTime(server.id)).toBe(1_200);
});

test("an announcement of an incarnation that has been replaced is ignored", () => {
    const view = new TableView<RegisteredServer>();
    const directory = new ServerDirectory(view, new ManualClock());
    const value = createRegisteredServer("a", { startedAt: 5 });
    view.applySnapshot([{ key: "a", version: 1, content: { kind: "value", value } }], 1);
    directory.recordAnnouncement({ id: value.id, startedAt: 4 }, "report");
    expect(directory.getMaxLeavingTime(value.id)).toBeUndefined();
});

test("hosts report servers that said that they leave; reports of earlier versions name none", () => {
    const reporter = new LoadReporter("h" as HostId, "h-1" as HostIncarnation);
    reporter.recordLeaving(createRegisteredServer("a", { startedAt: 5 }));
    const report = HostReport.parse(reporter.flush());
    expect(report.leaving).toEqual([["a", 5]]);
    expect(reporter.flush().leaving).toEqual([]);
    expect(HostReport.parse({ ...report, leaving: undefined }).leaving).toBeUndefined();
});

/** What a coordinator needs of the other parts; those that are not listed are not used. */
function createCoordinatorParts() {
    const clock = new ManualClock();
    const view = new TableView<RegisteredServer>();
    const directory = new ServerDirectory(view, clock);
    const server = createRegisteredServer("a", { startedAt: 5 });
    view.applySnapshot([{ key: "a", version: 1, content: { kind: "value", value: server } }], 1);
    const logger = new Logger(clock, "host", "silent");
    return { clock, directory, server, logger, metrics: new Metrics() };
}

test("a coordinator takes a server for leaving when a host reports that it said so", () => {
    const { directory, server, ...parts } = createCoordinatorParts();
    const orders = { restrictConnecting: () => undefined } as unknown as KeyOrders;
    const coordinator = new KeyCoordinator({ ...parts, directory, orders } as unknown as CoordinatorParts);
    const reporter = new LoadReporter("h" as HostId, "h-1" as HostIncarnation);
    reporter.recordLeaving(server);
    coordinator.handleReport(reporter.flush());
    expect(directory.getMaxLeavingTime(server.id)).toBe(0);
});

test.each(["done", "fenced"] as const)(
    "a coordinator takes a server for leaving when its answer to an order says so: %s",
    async kind => {
        const { directory, server, ...parts } = createCoordinatorParts();
        const dispatch = new OrderDispatch({
            ...parts,
            service: server.service,
            directory,
            orders: { grant: () => Promise.resolve({ kind, notice: LEAVING }) } as unknown as KeyOrders,
            liveness: new ServerLiveness(directory, parts.logger),
            settings: { holdMs: 9_000, orderTimeoutMs: 800 },
        });
        const order = { kind: "grant", holder: server, first: 0, last: 7, fence: 1 } as unknown as KeyOrder;
        await dispatch.send(order, () => true);
        expect(directory.getMaxLeavingTime(server.id)).toBe(0);
    },
);

test("a pooled server that wants no requests gets none until its time has passed, and others get them", async () => {
    const { backends, clock, router, servers } = start(["quiet"]);
    await route(router, clock, undefined);
    const [quiet] = listServers(backends);
    const sentBefore = backends.sent.length;
    while (clock.now() < QUIET_MS - 50) {
        await route(router, clock, undefined);
        clock.advance(20);
    }
    expect(listServers(backends).slice(1)).not.toContain(quiet);
    expect(backends.sent.length).toBeGreaterThan(sentBefore + 10);
    clock.advance(100);
    const rows = ["a", "b", "c"].filter(id => id !== quiet).map(id => ({
        key: id,
        version: 2,
        content: { kind: "value", value: createRegisteredServer(id, { isDraining: true }) } as const,
    }));
    servers.applyChanges(1, rows, 2);
    await route(router, clock, undefined);
    expect(listServers(backends).at(-1)).toBe(quiet);
});

test.each(
    [
        ["a pool in which all servers want no requests", undefined, ["quiet", "quiet", "quiet"]],
        ["the owner of a key that wants no requests", KEY, ["quiet"]],
    ] as const,
)("requests for %s are refused at once, as not run, until there is room", async (_, key, steps) => {
    const { backends, clock, router } = start(steps);
    await route(router, clock, key);
    const { reply, tookMs } = await route(router, clock, key);
    expect(reply).toMatchObject({ kind: "refusal", status: 503, reason: "serverQuiet" });
    expect(reply.kind === "refusal" && reply.retryAfterMs).toBeGreaterThan(QUIET_MS - 100);
    expect(tookMs).toBe(0);
    expect(backends.sent.length).toBe(steps.length);
    clock.advance(QUIET_MS);
    expect((await route(router, clock, key)).reply).toMatchObject({ kind: "answer" });
});

test("refused requests are told to come back at different times, none before there is room", async () => {
    const { clock, router } = start(["quiet"]);
    await route(router, clock, KEY);
    const delays: number[] = [];
    for (let request = 0; request < 100; request++) {
        const { reply } = await route(router, clock, KEY);
        delays.push(reply.kind === "refusal" ? reply.retryAfterMs! : Number.NaN);
    }
    const left = QUIET_MS - clock.now();
    expect(Math.min(...delays)).toBeGreaterThanOrEqual(left);
    expect(Math.max(...delays) - Math.min(...delays)).toBeGreaterThan(200);
});

test("a second answer lengthens the time for which a server wants no requests, and does not shorten it", () => {
    const clock = new ManualClock();
    const quiet = createQuiet(clock);
    const server = createRegisteredServer("a");
    quiet.record(server, 1_000);
    clock.advance(200);
    quiet.record(server, 100);
    expect(quiet.getTimeLeft(server)).toBe(800);
    quiet.record(server, 2_000);
    expect(quiet.getTimeLeft(server)).toBe(2_000);
    expect(quiet.getTimeLeft({ ...server, startedAt: server.startedAt + 1 })).toBe(0);
});

test("ten thousand servers that want no requests occupy limited memory, and their entries end by themselves", () => {
    const clock = new ManualClock();
    const metrics = new Metrics();
    const quiet = createQuiet(clock, metrics);
    for (let number = 0; number < 10_000; number++) {
        quiet.record(createRegisteredServer(`s-${number}`), 1_000 + number);
    }
    expect(metrics.print()).toContain("arbutusdoor_quiet_servers 4096");
    clock.advance(20_000);
    expect(metrics.print()).toContain("arbutusdoor_quiet_servers 0");
    expect(clock.nextDue()).toBeUndefined();
});

test("what is learned of a server is logged once: that it leaves, that its quiet time begins and ends, malformed fields", () => {
    const clock = new ManualClock();
    const events: string[] = [];
    const logger = new Logger(clock, "host", "silent");
    logger.onEvent(event => events.push(event));
    const view = new TableView<RegisteredServer>();
    const server = createRegisteredServer("a");
    const directory = new ServerDirectory(view, clock);
    directory.onAnnouncement(({ id }, source) => events.push(`${id} leaves: ${source}`));
    view.applySnapshot([{ key: "a", version: 1, content: { kind: "value", value: server } }], 1);
    const admission = createAdmission(directory, clock, LIMIT_MS, logger);
    for (let answer = 0; answer < 3; answer++) {
        admission.recordNotice(server, { ...LEAVING, quietMs: 500, ignored: ["retry-after: soon"] });
        clock.advance(10);
    }
    clock.advance(1_000);
    expect(events).toEqual(["a leaves: answer", "serverQuiet", "serverHeaderIgnored", "serverQuietEnded"]);
    expect(directory.findNewest("a" as ServerId)).toBe(server);
});

function createQuiet(clock: ManualClock, metrics = new Metrics()): QuietServers {
    return new QuietServers(clock, new RandomSource(5), new Logger(clock, "host", "silent"), metrics);
}
