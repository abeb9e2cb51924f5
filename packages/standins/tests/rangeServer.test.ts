import { SystemClock } from "@arbutusdoor/common";
import {
    observe,
    PlatformProtocol,
    RangeServerSettings,
    RangeServerStandIn,
    RowStoreStandIn,
    sendCall,
    ServerJournal,
} from "@arbutusdoor/standins";
import { connect } from "node:net";
import { Agent } from "undici";
import { beforeEach, expect, onTestFinished, test } from "vitest";

const PLACE = { host: "127.0.0.1", port: 0, controlPort: 0 };
const SETTLE_MS = 60;
/** Longer than the request's time and the last answers take. */
const LONG_MS = 4_000;
const HALF_REQUEST = [
    "POST /upload HTTP/1.1",
    "Host: server.example",
    "X-Request-Id: r1",
    "X-Deadline-Ms: 400",
    "Content-Length: 6",
    "",
    "abc",
].join("\r\n");

const HOLD_MS = 300;

const clock = new SystemClock();
let store: RowStoreStandIn;

beforeEach(async () => {
    store = new RowStoreStandIn({ clock, journalLimit: 100 }, PLACE);
    await store.start();
    return () => store.kill();
});

// Guards against a server that never ends after SIGTERM: it waited for the rest of a body that was lost on its way.
test("a leaving server does not wait for a body longer than its request's deadline", async () => {
    const server = await startServer(false);
    const caller = connect(Number(server.address.split(":")[1]), PLACE.host);
    onTestFinished(() => void caller.destroy());
    caller.on("error", () => undefined);
    caller.write(HALF_REQUEST);
    await clock.sleep(SETTLE_MS);
    const left = server.leave().then(() => "left");
    expect(await Promise.race([left, clock.sleep(LONG_MS)])).toBe("left");
    const { entries } = ServerJournal.parse(server.readJournal());
    expect(entries).toMatchObject([{ kind: "run", requestId: "r1", result: "cancelled" }]);
});

// Guards against a soak that takes a server's failure for a wrong answer ("not whole or not its own", with no other finding).
test("work that outlasts its lease ends with the server's failure, which the observer finds no fault with", async () => {
    const server = await startServer(true);
    const { incarnation } = ServerJournal.parse(server.readJournal());
    const dispatcher = new Agent();
    onTestFinished(() => dispatcher.close());
    await fetch(`http://${server.address}/-/grant`, {
        method: "POST",
        headers: { "x-target-instance": incarnation },
        body: JSON.stringify({ from: 0, target: 127, fence: 4, "hold_time": `${HOLD_MS}ms` }),
    });
    const path = `/board/key-0/read?call=c1&delay=${2 * HOLD_MS}`;
    const entry = await sendCall({
        name: "c1",
        kind: "read",
        method: "GET",
        path,
        headers: {},
        body: undefined,
    }, {
        entryHost: server.address,
        attempt: 1,
        dispatcher,
        timeoutMs: LONG_MS,
        protocol: new PlatformProtocol("board.example"),
        clock,
    });
    expect(entry).toMatchObject({ outcome: "unknown", status: 500 });
    const journal = ServerJournal.parse(server.readJournal());
    expect(journal.entries).toContainEqual(expect.objectContaining({ kind: "run", result: "cancelled" }));
    const { findings } = observe([journal], [entry], { toleranceMs: 25, lostServers: ["s0"] });
    expect(findings).toEqual([]);
});

async function startServer(isKeyed: boolean): Promise<RangeServerStandIn> {
    const settings = RangeServerSettings.parse({
        server: "s1",
        service: "board",
        dataCentre: "north",
        store: store.controlAddress,
        drainMs: 0,
        isKeyed,
    });
    const server = new RangeServerStandIn(clock, settings, PLACE);
    await server.start();
    onTestFinished(() => server.kill());
    return server;
}
