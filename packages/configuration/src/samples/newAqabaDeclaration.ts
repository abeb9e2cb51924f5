import type { Declaration } from "../declaration/declaration.js";
import type { Server } from "../declaration/server.js";
import { dataCentre } from "../library/dataCentre.js";
import { declaration } from "../library/declaration.js";
import { objective } from "../library/objective.js";
import { requestClass } from "../library/requestClass.js";
import { route } from "../library/route.js";
import { service } from "../library/service.js";
import { createReadClass } from "./createReadClass.js";
import { createSampleServers } from "./createSampleServers.js";
import { createUploadService } from "./createUploadService.js";

const UPLOAD_LIMIT_BYTES = 268_435_456;
const SLOTS = 4;
const CONNECTIONS = 110;

/** Sample: the Aqaba Windgate Kite Reports Gateway at its present size. */
export function newAqabaDeclaration(): Declaration {
    const dataCentres = [dataCentre("aqaba-north"), dataCentre("aqaba-south"), dataCentre("aqaba-port")];
    return declaration({
        tenant: "aqaba",
        dataCentres,
        services: [createGustboard(), createShorepermit(), createLoghold()],
        servers: [
            ...createServers("gustboard", 20, 1, dataCentres),
            ...createServers("shorepermit", 6, 2, dataCentres),
            ...createServers("loghold", 6, 3, dataCentres),
        ],
    });
}

function createGustboard(): ReturnType<typeof service> {
    const reading = createReadClass(800);
    const reporting = requestClass("report", {
        methods: ["PUT"],
        isIdempotent: true,
        deadlineMs: 2_000,
        priority: 50,
    });
    return service("gustboard", {
        kind: "keyed",
        classes: [reading, reporting],
        slices: 64,
        routes: [route("beach-windgate", "gustboard-01")],
        objective: objective({
            imbalance: 0.6,
            churn: 0.2,
            unavailability: 0.2,
            patienceMs: 0,
            restMs: 30_000,
        }),
    });
}

function createShorepermit(): ReturnType<typeof service> {
    const reading = createReadClass();
    const filing = requestClass("once", {
        methods: ["POST"],
        isIdempotent: false,
        deadlineMs: 5_000,
        priority: 90,
        retries: 1,
        intentOutage: "refuse",
    });
    return service("shorepermit", { kind: "pooled", classes: [reading, filing] });
}

function createLoghold(): ReturnType<typeof service> {
    return createUploadService("loghold", {
        bodyLimitBytes: UPLOAD_LIMIT_BYTES,
        progressTimeoutMs: 15_000,
        readDeadlineMs: 10_000,
    });
}

function createServers(name: string, count: number, network: number, dataCentres: string[]): Server[] {
    return createSampleServers({
        service: name,
        count,
        network: `10.1.${network}`,
        port: 8_080,
        dataCentres,
        slots: SLOTS,
        connections: CONNECTIONS,
    });
}
