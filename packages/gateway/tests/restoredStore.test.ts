import { Logger, ManualClock, Metrics } from "@arbutusdoor/common";
import { pack, unpack } from "msgpackr";
import { expect, test } from "vitest";
import type { OperatorEntry } from "../src/configuration/operatorEntry.js";
import { ClusterState } from "../src/host/clusterState.js";
import type { CoordinatorMessage } from "../src/links/coordinatorMessage.js";
import { assignInitialKeys } from "../src/ownership/assignInitialKeys.js";
import { decodeKeyMap } from "../src/ownership/decodeKeyMap.js";
import { encodeKeyMap } from "../src/ownership/encodeKeyMap.js";
import { rebuildMap } from "../src/ownership/rebuildMap.js";
import { RestoredKeys } from "../src/ownership/restoredKeys.js";
import { createHolder } from "./support/createHolder.js";
import { createRegisteredServer } from "./support/createRegisteredServer.js";

const ERA = 1;
const TERM = 2 ** 32 + 1;
const MAP = assignInitialKeys([createHolder("a"), createHolder("b")], 32_768, 1, 7);

function createState(): { readonly state: ClusterState; readonly clock: ManualClock; } {
    const clock = new ManualClock();
    return { state: new ClusterState(clock, new Logger(clock, "host", "silent"), new Metrics()), clock };
}

function createOrigin(era?: number) {
    return {
        source: "store",
        changedAfter: undefined,
        completeAt: 1_000,
        isAfterOutage: false,
        era,
    } as const;
}

function createServerRow(version: number, server: Parameters<typeof createRegisteredServer>[1] = {}) {
    return {
        key: "a",
        version,
        content: { kind: "value", value: createRegisteredServer("a", server) } as const,
    };
}

function createConfigurationRow(row: number, version: number) {
    const limits = { headerBytes: 1, bodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 };
    const value: OperatorEntry = {
        kind: "configuration",
        configuration: { version, routes: [], services: [], limits },
    };
    return { key: "config", version: row, content: { kind: "value", value } as const };
}

function listReady({ directory }: ClusterState): readonly string[] {
    return directory.listAllReady().map(({ id }) => id);
}

/** Connects a state to another one as over a link. */
function link(coordinator: ClusterState, host: ClusterState): void {
    const handle = (message: CoordinatorMessage) => {
        const received = unpack(pack(message)) as CoordinatorMessage;
        if (received.kind === "rows") {
            expect(host.handleRows(received)).toBe(true);
        }
        else if (received.kind === "keys") {
            expect(host.handleKeys(received)).toBe(true);
        }
    };
    coordinator.createUpdates(host.getKnownVersions()).forEach(handle);
    coordinator.onChange(handle);
}

// Guards against a snapshot of the restored store that is ignored, or mixed with newer versions of before.
test("in a new era, rows stay in use, count for nothing, and are replaced by a snapshot of lower versions", () => {
    const { state } = createState();
    state.servers.applySnapshot(
        [createServerRow(80), { ...createServerRow(90), key: "b" }],
        100,
        createOrigin(),
    );
    state.era.record(ERA);
    expect(listReady(state)).toHaveLength(2);
    expect(state.getTableAge("servers")).toBe(Infinity);
    expect(state.getKnownVersions()).toEqual({
        tables: { configuration: -1, servers: -1 },
        keys: {},
        era: ERA,
    });
    expect(state.servers.applyChanges(100, [], 101, createOrigin(ERA))).toBe(false);
    state.servers.applySnapshot([createServerRow(80)], 95, createOrigin(ERA));
    expect([listReady(state), state.servers.asOf]).toEqual([["a"], 95]);
    state.servers.applySnapshot([], 120, createOrigin());
    expect([listReady(state), state.servers.asOf]).toEqual([["a"], 95]);
});

// Guards against a configuration that is undone by the restored store's older row.
test("a configuration that was adopted is not replaced by an older one of a new era, but by a higher one", () => {
    const { state } = createState();
    state.configuration.applySnapshot([createConfigurationRow(80, 6)], 100, createOrigin());
    state.configuration.applySnapshot([createConfigurationRow(20, 3)], 60, createOrigin(ERA));
    expect(state.routes?.configuration.version).toBe(6);
    state.configuration.applyChanges(60, [createConfigurationRow(61, 9)], 61, createOrigin(ERA));
    expect(state.routes?.configuration.version).toBe(9);
});

// Guards against requests to a server that is leaving, since the restored store still lists it as ready.
test("a leaving server is not taken back by the snapshot of a new era, but by a later entry or a new incarnation", () => {
    const { state } = createState();
    const leave = (era: number, first: number) => {
        state.servers.applyChanges(
            first,
            [createServerRow(first + 1, { isDraining: true })],
            first + 1,
            createOrigin(era),
        );
        state.servers.applySnapshot([createServerRow(first)], first, createOrigin(era + 1));
    };
    state.servers.applySnapshot([createServerRow(10)], 10, createOrigin());
    leave(0, 10);
    expect(listReady(state)).toEqual([]);
    state.servers.applyChanges(10, [createServerRow(12)], 12, createOrigin(1));
    expect(listReady(state)).toEqual(["a"]);
    leave(1, 12);
    expect(listReady(state)).toEqual([]);
    state.servers.applyChanges(12, [createServerRow(14, { startedAt: 99 })], 14, createOrigin(2));
    expect(listReady(state)).toEqual(["a"]);
});

// Guards against hosts that keep the lost rows and maps, since versions that are given out again look known.
test("a host with a link learns of the new era and of rows and maps whose versions are given out again", () => {
    const [{ state: coordinator }, { state: host }] = [createState(), createState()];
    coordinator.servers.applySnapshot([createServerRow(80)], 100, createOrigin());
    coordinator.recordKeyMap({ key: "board", version: 90, content: { kind: "value", value: MAP } });
    link(coordinator, host);
    expect(listReady(host)).toEqual(["a"]);
    const rebuilt = rebuildMap(MAP, TERM, TERM);
    coordinator.era.record(ERA);
    coordinator.servers.applySnapshot([{ ...createServerRow(80), key: "b" }], 85, createOrigin(ERA));
    coordinator.recordKeyMap({ key: "board", version: 90, content: { kind: "value", value: rebuilt } }, ERA);
    expect(host.era.current).toBe(ERA);
    expect([...host.servers.present.keys()]).toEqual(["b"]);
    expect(host.keys.present.get("board")?.content).toEqual({ kind: "value", value: rebuilt });
    const { state: late } = createState();
    link(coordinator, late);
    expect(late.era.current).toBe(ERA);
});

// Guards against a successor that grants keys while unknown grants of before the restore may be held.
test("a map keeps the time of unknown grants when it is encoded, and tokens above 2^32", () => {
    const marked = rebuildMap(MAP, TERM, TERM + 5, 123_456.5);
    expect(decodeKeyMap(encodeKeyMap(marked))).toEqual(marked);
    const mixed = { ...MAP, fence: TERM + 5 };
    expect(decodeKeyMap(encodeKeyMap(mixed))).toEqual(mixed);
});

// Guards against two owners of a key: the address of a release may come from an entry of another writer.
test("another server's answer to a release of all keys does not clear a server", () => {
    const holder = createHolder("a");
    const keys = new RestoredKeys(7, { startedAt: 0, expiresAt: 10_000, retryMs: 200 });
    const [order] = keys.takeDueOrders([holder], 0, 10);
    keys.complete(order!, { kind: "otherServer" }, 4);
    expect(keys.listPending([holder])).toEqual([holder]);
    expect(keys.takeDueOrders([holder], 204, 10)).toEqual([order]);
});
