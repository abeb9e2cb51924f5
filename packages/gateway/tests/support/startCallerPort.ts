import { type Clock, Logger, Metrics, type ServiceId, ShutdownSchedule } from "@arbutusdoor/common";
import { once } from "node:events";
import { createServer } from "node:http";
import type { AddressInfo } from "node:net";
import type { BackendClient } from "../../src/backends/backendClient.js";
import type { Route } from "../../src/configuration/route.js";
import { RouteTable } from "../../src/configuration/routeTable.js";
import { TargetRotation } from "../../src/configuration/targetRotation.js";
import type { CallerHeaderCodec } from "../../src/requests/callerHeaderCodec.js";
import { CallerPort } from "../../src/requests/callerPort.js";
import { createRoute } from "./createRoute.js";
import { createRouter } from "./createRouter.js";

const LOOPBACK = "127.0.0.1";

/** Parameters of the port. */
type CallerPortParameters = {
    readonly clock: Clock;
    readonly backends: BackendClient;
    readonly dialect: CallerHeaderCodec;
    /** Longest time for the header section, and for an idle connection. */
    readonly timeoutMs: number;
    /** Properties of the route that differ from the usual ones. */
    readonly route?: Partial<Route>;
};

/** Starts a caller port on the loopback address, with one route to the pooled service `board`. */
export async function startCallerPort({ backends, clock, dialect, route, timeoutMs }: CallerPortParameters) {
    const metrics = new Metrics();
    const logger = new Logger(clock, "test", "silent");
    const routes = new RouteTable({
        version: 1,
        routes: [createRoute(route)],
        services: [{ id: "board" as ServiceId, maxConnections: 100, isKeyed: false, coldKeysMs: 0 }],
        limits: {
            headerBytes: 16_384,
            bodyBytes: 1_048_576,
            headerTimeoutMs: timeoutMs,
            idleTimeoutMs: timeoutMs,
        },
    });
    const shutdown = new ShutdownSchedule(clock);
    const callerPort = new CallerPort({
        clock,
        logger,
        metrics,
        router: createRouter({ clock, backends, shutdown }),
        dialect,
        rotation: new TargetRotation(),
        shutdown,
        getRoutes: () => routes,
    });
    const port = await findFreePort();
    await callerPort.listen(LOOPBACK, port);
    return { callerPort, logger, metrics, port };
}

async function findFreePort(): Promise<number> {
    const server = createServer().listen(0, LOOPBACK);
    await once(server, "listening");
    const { port } = server.address() as AddressInfo;
    server.close();
    await once(server, "close");
    return port;
}
