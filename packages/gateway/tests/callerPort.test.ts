import { Logger, Metrics, type RequestId, type ServiceId, SystemClock } from "@arbutusdoor/common";
import { once } from "node:events";
import { createServer } from "node:http";
import { type AddressInfo, connect, type Socket } from "node:net";
import { afterEach, beforeEach, expect, test } from "vitest";
import { RouteTable } from "../src/configuration/routeTable.js";
import { TargetRotation } from "../src/configuration/targetRotation.js";
import { CallerHeaderCodec } from "../src/requests/callerHeaderCodec.js";
import { CallerPort } from "../src/requests/callerPort.js";
import { createRoute } from "./support/createRoute.js";
import { createRouter } from "./support/createRouter.js";
import { ScriptedBackends } from "./support/scriptedBackends.js";

const LOOPBACK = "127.0.0.1";
const SETTLE_MS = 50;
const GET = "GET /x HTTP/1.1\r\nHost: board.example\r\n\r\n";
const POST = "POST /x HTTP/1.1\r\nHost: board.example\r\nContent-Length: 4\r\n\r\nbody";

class FixedHeaderCodec extends CallerHeaderCodec {
    override readRequestHeaders() {
        return { id: "r1" as RequestId, timeoutMs: 1_000, key: undefined };
    }

    override createRetryHeaders(): Record<string, string> {
        return {};
    }
}

const clock = new SystemClock();
let backends: ScriptedBackends;
let callerPort: CallerPort;
let caller: Socket;

beforeEach(async () => {
    backends = new ScriptedBackends([]);
    const metrics = new Metrics();
    const routes = new RouteTable({
        version: 1,
        routes: [createRoute()],
        services: [{ id: "board" as ServiceId, maxConnections: 100, isKeyed: false, coldKeysMs: 0 }],
        limits: { headerBytes: 16_384, bodyBytes: 1_048_576, headerTimeoutMs: 1_000, idleTimeoutMs: 1_000 },
    });
    callerPort = new CallerPort({
        clock,
        logger: new Logger(clock, "test", "silent"),
        metrics,
        router: createRouter({ clock, backends }),
        dialect: new FixedHeaderCodec(),
        rotation: new TargetRotation(),
        getRoutes: () => routes,
    });
    const port = await findFreePort();
    await callerPort.listen(LOOPBACK, port);
    caller = connect(port, LOOPBACK);
    caller.on("error", () => undefined);
    await once(caller, "connect");
    await clock.sleep(SETTLE_MS);
});

afterEach(async () => {
    caller.destroy();
    await callerPort.close();
});

test.each([["without a body", GET], ["with a body", POST]])(
    "a request %s whose caller stays connected is forwarded and answered",
    async (_, text) => {
        caller.write(text);
        const [answer] = await once(caller, "data") as [Buffer];
        expect(answer.toString().split("\r\n")[0]).toBe("HTTP/1.1 200 OK");
        expect(backends.sent).toHaveLength(1);
    },
);

test.each([["without a body", GET], ["with a body", POST]])(
    "after all hosts were lost: a request %s that is read together with its caller's disconnection is not forwarded",
    async (_, text) => {
        caller.write(text);
        caller.destroy();
        await clock.sleep(SETTLE_MS);
        expect(backends.sent).toEqual([]);
    },
);

test("a request whose connection has not been accepted when the port closes is answered", async () => {
    const late = connect(caller.remotePort!, LOOPBACK);
    late.write(GET);
    const closed = callerPort.close();
    const [answer] = await once(late, "data") as [Buffer];
    expect(answer.toString().split("\r\n")[0]).toBe("HTTP/1.1 200 OK");
    late.destroy();
    caller.destroy();
    await closed;
});

async function findFreePort(): Promise<number> {
    const server = createServer().listen(0, LOOPBACK);
    await once(server, "listening");
    const { port } = server.address() as AddressInfo;
    server.close();
    await once(server, "close");
    return port;
}
