import { type DataCentreId, Logger, ManualClock } from "@arbutusdoor/common";
import { expect, test } from "vitest";
import type { RegisteredServer } from "../src/discovery/registeredServer.js";
import { ServerDirectory } from "../src/discovery/serverDirectory.js";
import type { OrderOutcome } from "../src/orders/orderOutcome.js";
import type { KeyHolder } from "../src/ownership/keyHolder.js";
import { ServerLiveness } from "../src/ownership/serverLiveness.js";
import { TableView } from "../src/store/tableView.js";
import { createHolder } from "./support/createHolder.js";
import { createRegisteredServer } from "./support/createRegisteredServer.js";

/** Creates a registry with servers a and b of one data centre and c of another. */
function start() {
    const clock = new ManualClock();
    const view = new TableView<RegisteredServer>();
    const directory = new ServerDirectory(view, clock);
    const liveness = new ServerLiveness(directory, new Logger(clock, "test", "silent"));
    let version = 0;
    const put = (key: string, server: RegisteredServer | undefined) => {
        version++;
        const content = server ? { kind: "value", value: server } as const : { kind: "absent" } as const;
        view.applyChanges(version - 1, [{ key, version, content }], version);
    };
    view.applySnapshot([], 0);
    put("a", createRegisteredServer("a"));
    put("b", createRegisteredServer("b"));
    put("c", createRegisteredServer("c", { dataCentre: "south" as DataCentreId }));
    /** Sends an order to the newest incarnation's address, where it gets its outcome. */
    const send = (holder: KeyHolder, outcome: OrderOutcome) => {
        const server = directory.findNewest(holder.id);
        const sentAt = clock.now();
        clock.advance(ANSWER_MS);
        liveness.recordOutcome(holder, outcome, { server, sentAt, now: clock.now() });
    };
    return { clock, directory, liveness, put, send };
}

const A = createHolder("a");
const REFUSED = { kind: "unsent", reason: "refused" } as const;
const DONE = { kind: "done" } as const;
const OTHER_SERVER = { kind: "otherServer" } as const;
const OTHER_ADDRESS = "10.0.0.2:80";
const ANSWER_MS = 4;

test("a newer incarnation replaces the earlier one, which is no stop proof; a missing entry alone proves nothing", () => {
    const { liveness, put } = start();
    expect(liveness.getState(A)).toBe("live");
    put("a", undefined);
    expect(liveness.getState(A)).toBe("leaving");
    put("a", createRegisteredServer("a", { startedAt: 2 }));
    expect(liveness.getState(A)).toBe("replaced");
    expect(liveness.getState(createHolder("a", 2))).toBe("live");
});

// Guards against two owners of a key: a server that was cut off from the hosts and the store alone was taken for ended.
test.each([
    ["its entry is missing", ["a"]],
    ["the entries of its whole data centre are missing", ["a", "b"]],
    ["its entry is there", []],
])("refused connections prove nothing while %s", (_, missing) => {
    const { clock, liveness, put, send } = start();
    missing.forEach(id => put(id, undefined));
    for (let round = 0; round < 20; round++) {
        send(A, REFUSED);
        send(createHolder("b"), DONE);
        clock.advance(1_000);
        expect(liveness.getState(A)).toBe(missing.length > 0 ? "leaving" : "live");
    }
});

// Guards against two owners of a key: a release for an earlier incarnation goes to the newest one's address.
test("an answer at the address of another incarnation proves nothing", () => {
    const { liveness, put, send } = start();
    put("a", createRegisteredServer("a", { startedAt: 2, address: OTHER_ADDRESS }));
    [1, 2, 3].forEach(() => send(A, OTHER_SERVER));
    expect(liveness.getState(A)).toBe("replaced");
});

// Guards against two owners of a key: an entry of another writer named another address for a server that was up.
test("answers of another server prove nothing of an incarnation that was registered at several addresses", () => {
    const { liveness, put, send } = start();
    send(A, DONE);
    put("a", createRegisteredServer("a", { address: OTHER_ADDRESS }));
    [1, 2, 3].forEach(() => send(A, OTHER_SERVER));
    expect(liveness.getState(A)).toBe("live");
    put("a", createRegisteredServer("a"));
    [1, 2, 3].forEach(() => send(A, OTHER_SERVER));
    expect(liveness.getState(A)).toBe("live");
});

// Guards against two owners of a key by one wrong answer of a server that is up.
test("a server counts as ended only once a second order has found another server at its address", () => {
    const { liveness, send } = start();
    send(A, OTHER_SERVER);
    expect(liveness.getState(A)).toBe("live");
    send(A, OTHER_SERVER);
    expect(liveness.getState(A)).toBe("dead");
});

test("two wrong answers to orders that were sent together are not a second one to each other", () => {
    const { directory, liveness } = start();
    const server = directory.findNewest(A.id);
    [4, 8].forEach(now => liveness.recordOutcome(A, OTHER_SERVER, { server, sentAt: 0, now }));
    expect(liveness.getState(A)).toBe("live");
});

test("a plain answer contradicts the wrong answer before it, and takes back the end of a server", () => {
    const { liveness, send } = start();
    [OTHER_SERVER, DONE, OTHER_SERVER].forEach(outcome => send(A, outcome));
    expect(liveness.getState(A)).toBe("live");
    send(A, OTHER_SERVER);
    expect(liveness.getState(A)).toBe("dead");
    send(A, { kind: "fenced" });
    expect(liveness.getState(A)).toBe("live");
});

// Guards against two owners of a key: a predecessor may have reached the server at another address than this host knows.
test("an inherited owner that has not answered counts as ended only while its entry is missing", () => {
    const { liveness, put, send } = start();
    liveness.recordInherited([A]);
    [1, 2].forEach(() => send(A, OTHER_SERVER));
    expect(liveness.getState(A)).toBe("live");
    put("a", undefined);
    expect(liveness.getState(A)).toBe("dead");
});

test("an inherited owner that has answered counts as ended as any other", () => {
    const { liveness, send } = start();
    liveness.recordInherited([A]);
    [DONE, OTHER_SERVER, OTHER_SERVER].forEach(outcome => send(A, outcome));
    expect(liveness.getState(A)).toBe("dead");
});

// Guards against two owners of a key: of two answers of another server, one came in an earlier coordination.
test("another server's answers in different coordinations prove nothing together", () => {
    const { liveness, send } = start();
    send(A, OTHER_SERVER);
    liveness.forgetRefusals();
    send(A, OTHER_SERVER);
    expect(liveness.getState(A)).toBe("live");
    send(A, OTHER_SERVER);
    expect(liveness.getState(A)).toBe("dead");
});
