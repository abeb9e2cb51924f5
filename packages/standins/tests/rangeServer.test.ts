import { SystemClock } from "@arbutusdoor/common";
import {
    RangeServerSettings,
    RangeServerStandIn,
    RowStoreStandIn,
    type ServerEntry,
} from "@arbutusdoor/standins";
import { connect } from "node:net";
import { expect, onTestFinished, test } from "vitest";

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

// Guards against a server that never ends after SIGTERM: it waited for the rest of a body that was lost on its way.
test("a leaving server does not wait for a body longer than its request's deadline", async () => {
    const clock = new SystemClock();
    const store = new RowStoreStandIn({ clock, journalLimit: 100 }, PLACE);
    await store.start();
    const settings = RangeServerSettings.parse({
        server: "s1",
        service: "board",
        dataCentre: "north",
        store: store.controlAddress,
        drainMs: 0,
    });
    const server = new RangeServerStandIn(clock, settings, PLACE);
    await server.start();
    const caller = connect(Number(server.address.split(":")[1]), PLACE.host);
    onTestFinished(async () => {
        caller.destroy();
        await server.kill();
        await store.kill();
    });
    caller.on("error", () => undefined);
    caller.write(HALF_REQUEST);
    await clock.sleep(SETTLE_MS);
    const left = server.leave().then(() => "left");
    expect(await Promise.race([left, clock.sleep(LONG_MS)])).toBe("left");
    const { entries } = server.readJournal() as { entries: readonly ServerEntry[]; };
    expect(entries).toMatchObject([{ kind: "run", requestId: "r1", result: "cancelled" }]);
});
