import { Logger, ManualClock, Metrics } from "@arbutusdoor/common";
import { unpack } from "msgpackr";
import { expect, test } from "vitest";
import type { OperatorEntry } from "../src/configuration/operatorEntry.js";
import type { RegisteredServer } from "../src/discovery/registeredServer.js";
import { ClusterState } from "../src/host/clusterState.js";
import type { CoordinatorMessage } from "../src/links/coordinatorMessage.js";
import { encodeMessage } from "../src/links/encodeMessage.js";
import type { KnownVersions } from "../src/links/knownVersions.js";
import { assignInitialKeys } from "../src/ownership/assignInitialKeys.js";
import type { KeyMap } from "../src/ownership/keyMap.js";
import { createHolder } from "./support/createHolder.js";
import { createRegisteredServer } from "./support/createRegisteredServer.js";

const SERVERS = 300;
const STRIPE_KEYS = 64;
const HOSTS = 72;
/** Link of a small host: 10 Mbit/s. */
const LINK_BYTES_PER_MS = 1_250;
/** New connections wait behind what a host sends; callers give them up after a second. */
const MAX_LINK_MS = 500;

const IDS = Array.from({ length: SERVERS }, (_, index) => `server-${1_000 + index}`);

function createState(): ClusterState {
    const clock = new ManualClock();
    return new ClusterState(clock, new Logger(clock, "host", "silent"), new Metrics());
}

function createServerRow(id: string, version: number) {
    return { key: id, version, content: { kind: "value", value: createRegisteredServer(id) } as const };
}

function createConfigurationRow(version: number) {
    const limits = { headerBytes: 1, bodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 };
    const value: OperatorEntry = {
        kind: "configuration",
        configuration: { version, routes: [], services: [], limits },
    };
    return { key: "config", version, content: { kind: "value", value } as const };
}

function createMapRow(version: number, owner: string) {
    const holders = IDS.map(id => createHolder(id));
    const map = assignInitialKeys(holders, STRIPE_KEYS, 1, 1);
    const ranges = map.ranges.map((range, index) =>
        index === 0 ? { ...range, fence: version, owner: createHolder(owner) } : range
    );
    const value: KeyMap = { ...map, fence: version, ranges };
    return { key: "board", version, content: { kind: "value", value } as const };
}

/** A state as after reading the store at version 400. */
function createInformedState(): ClusterState {
    const state = createState();
    state.configuration.applySnapshot([createConfigurationRow(1)], 400);
    state.servers.applySnapshot(IDS.map((id, index) => createServerRow(id, 2 + index)), 400);
    state.recordKeyMap(createMapRow(390, IDS[1]!));
    return state;
}

/** Changes of each table after version 400: one server is new, one is gone, one range has a new owner. */
function change(state: ClusterState): void {
    const gone = { key: IDS[5]!, version: 410, content: { kind: "absent" } as const };
    state.servers.applyChanges(400, [createServerRow("new", 405), gone], 410);
    state.configuration.applyChanges(400, [createConfigurationRow(411)], 411);
    state.recordKeyMap(createMapRow(412, IDS[2]!));
}

function update(host: ClusterState, messages: readonly CoordinatorMessage[]): boolean {
    return messages.map(message => unpack(encodeMessage(message)) as CoordinatorMessage).every(message =>
        message.kind === "rows"
            ? host.handleRows(message)
            : message.kind !== "keys" || host.handleKeys(message)
    );
}

function listServers(state: ClusterState): readonly [string, RegisteredServer | undefined][] {
    return [...state.servers.present.values()].map((
        { content, key },
    ): [string, RegisteredServer | undefined] => [
        key,
        content.kind === "value" ? content.value : undefined,
    ]).sort(([one], [other]) => one < other ? -1 : 1);
}

function expectSame(host: ClusterState, coordinator: ClusterState): void {
    expect(listServers(host)).toEqual(listServers(coordinator));
    expect(host.routes!.configuration).toEqual(coordinator.routes!.configuration);
    expect(host.keys.present.get("board")).toEqual(coordinator.keys.present.get("board"));
    expect(host.getKnownVersions()).toEqual(coordinator.getKnownVersions());
}

function measure(messages: readonly CoordinatorMessage[]): number {
    return messages.reduce((total, message) => total + encodeMessage(message).length, 0);
}

// Guards against a coordinator that takes no new connections for seconds: its link was full of tables for hosts that know them.
test("a coordinator with a small link tells all hosts what they do not know yet within half a second", () => {
    const coordinator = createInformedState();
    change(coordinator);
    const known = createInformedState().getKnownVersions();
    const bytes = measure(coordinator.createUpdates(known));
    expect(bytes * HOSTS / LINK_BYTES_PER_MS).toBeLessThanOrEqual(MAX_LINK_MS);
});

// Guards against the same when many keys move at once, as those of a data centre that is partitioned do.
test("a coordinator with a small link tells all hosts of 300 ranges that move within a second and a half", () => {
    const coordinator = createInformedState();
    const changes: CoordinatorMessage[] = [];
    coordinator.onChange(message => changes.push(message));
    coordinator.recordKeyMap(createMapRow(400, IDS[1]!));
    const { content } = createMapRow(401, IDS[1]!);
    const ranges = content.value.ranges.map((range, index) =>
        index < 300 ? { ...range, fence: 401, owner: createHolder(IDS[9]!), previous: [range.owner] } : range
    );
    coordinator.recordKeyMap({
        key: "board",
        version: 401,
        content: { kind: "value", value: { ...content.value, ranges } },
    });
    expect(measure(changes.slice(1)) * HOSTS / LINK_BYTES_PER_MS).toBeLessThanOrEqual(3 * MAX_LINK_MS);
});

test("a host that has missed changes gets just these", () => {
    const coordinator = createInformedState();
    change(coordinator);
    const host = createInformedState();
    expect(update(host, coordinator.createUpdates(host.getKnownVersions()))).toBe(true);
    expectSame(host, coordinator);
});

test("a host that knows nothing gets everything, also one of an earlier version that does not say what it knows", () => {
    const coordinator = createInformedState();
    change(coordinator);
    for (const getKnown of [(host: ClusterState) => host.getKnownVersions(), () => undefined]) {
        const host = createState();
        expect(update(host, coordinator.createUpdates(getKnown(host)))).toBe(true);
        expectSame(host, coordinator);
    }
});

test("a host that knows more than the coordinator keeps it", () => {
    const coordinator = createInformedState();
    const host = createInformedState();
    change(host);
    const before = listServers(host);
    expect(update(host, coordinator.createUpdates(host.getKnownVersions()))).toBe(true);
    expect(listServers(host)).toEqual(before);
});

test("a host that does not know rows that it is taken to know asks for everything", () => {
    const coordinator = createInformedState();
    const host = createState();
    const known: KnownVersions = coordinator.getKnownVersions();
    expect(update(host, coordinator.createUpdates(known))).toBe(false);
    expect(host.directory.isKnown).toBe(false);
});

test("a key map that changed more often than versions are kept is sent whole", () => {
    const coordinator = createInformedState();
    const host = createInformedState();
    for (let version = 400; version < 440; version++) {
        coordinator.recordKeyMap(createMapRow(version, IDS[version % SERVERS]!));
    }
    const messages = coordinator.createUpdates(host.getKnownVersions());
    expect(messages.find(({ kind }) => kind === "keys")).toMatchObject({ after: undefined });
    expect(update(host, messages)).toBe(true);
    expectSame(host, coordinator);
});

// Guards against a host that keeps an entry which the coordinator has never seen: it read the store itself between two reads of the coordinator.
test("a host that knows a later version learns that a row is again what the coordinator read last", () => {
    const coordinator = createInformedState();
    const sent: CoordinatorMessage[] = [];
    coordinator.onChange(message => sent.push(message));
    const host = createInformedState();
    const [id] = IDS as [string];
    const value = createRegisteredServer(id, { isDraining: true });
    coordinator.servers.applyChanges(400, [createServerRow(id, 403)], 403);
    host.servers.applyChanges(400, [{ key: id, version: 405, content: { kind: "value", value } }], 405);
    expect(update(host, coordinator.createUpdates(host.getKnownVersions()))).toBe(true);
    sent.length = 0;
    coordinator.servers.applyChanges(403, [createServerRow(id, 406), createServerRow(IDS[1]!, 404)], 406);
    expect(update(host, sent)).toBe(true);
    expect(listServers(host)).toEqual(listServers(coordinator));
    sent.length = 0;
    coordinator.servers.applyChanges(406, [createServerRow(id, 408)], 408);
    expect(sent).toEqual([]);
});
