import { type DataCentreId, Logger, ManualClock, type ServerId } from "@arbutusdoor/common";
import { expect, test } from "vitest";
import type { RegisteredServer } from "../src/discovery/registeredServer.js";
import { ServerDirectory } from "../src/discovery/serverDirectory.js";
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
    return { clock, directory, liveness, put };
}

const A = createHolder("a");
const REFUSED = { kind: "notListening" } as const;

test("a newer incarnation replaces the earlier one, which is no stop proof; a missing entry alone proves nothing", () => {
    const { liveness, put } = start();
    expect(liveness.getState(A)).toBe("live");
    put("a", undefined);
    expect(liveness.getState(A)).toBe("leaving");
    put("a", createRegisteredServer("a", { startedAt: 2 }));
    expect(liveness.getState(A)).toBe("replaced");
    expect(liveness.getState(createHolder("a", 2))).toBe("live");
});

test("a refused connection, a missing entry and a neighbour that answers later together prove that a server has ended", () => {
    const { clock, liveness, put } = start();
    put("a", undefined);
    liveness.recordOutcome(A, REFUSED, clock.now());
    clock.advance(1_000);
    liveness.recordAnswer("b" as ServerId, clock.now());
    clock.advance(300);
    liveness.recordOutcome(A, REFUSED, clock.now());
    expect(liveness.getState(A)).toBe("dead");
});

test.each([
    ["its entry is still there", { isMissing: false, answers: "b", at: 1_000 }],
    ["its whole data centre is unresponsive", { isMissing: true, answers: "c", at: 1_000 }],
    ["the neighbour's answer was given before the partition and reported after it", {
        isMissing: true,
        answers: "b",
        at: 100,
    }],
    ["another host had an answer from it meanwhile", { isMissing: true, answers: "a", at: 1_000 }],
])("a refused connection proves nothing while %s", (_, { answers, at, isMissing }) => {
    const { clock, liveness, put } = start();
    if (isMissing) {
        put("a", undefined);
    }
    liveness.recordOutcome(A, REFUSED, clock.now());
    clock.advance(at);
    liveness.recordAnswer(answers as ServerId, clock.now());
    clock.advance(1_300);
    liveness.recordOutcome(A, REFUSED, clock.now());
    expect(liveness.getState(A)).not.toBe("dead");
});

test("another server at the address proves at once that a server has ended", () => {
    const { clock, liveness } = start();
    liveness.recordOutcome(A, { kind: "otherServer" }, clock.now());
    expect(liveness.getState(A)).toBe("dead");
});
