import type { Declaration } from "../declaration/declaration.js";
import type { Server } from "../declaration/server.js";
import { dataCentre } from "../library/dataCentre.js";
import { declaration } from "../library/declaration.js";
import { objective } from "../library/objective.js";
import { requestClass } from "../library/requestClass.js";
import { service } from "../library/service.js";
import { createReadClass } from "./createReadClass.js";
import { createSampleServers } from "./createSampleServers.js";
import { createUploadService } from "./createUploadService.js";

const UPLOAD_LIMIT_BYTES = 536_870_912;
const SLOTS = 3;
const CONNECTIONS = 50;

/** Sample: the Cuerdas Vivas Luthier Booking Gateway at its present size. */
export function newLimaDeclaration(): Declaration {
    const dataCentres = ["lima-a", "lima-b", "lima-c", "lima-d"].map(dataCentre);
    return declaration({
        tenant: "cuerdas-vivas",
        dataCentres,
        services: [createAgenda(), createReservas(), createTallerFotos()],
        servers: [
            ...createServers("agenda", 20, 1, dataCentres),
            ...createServers("reservas", 10, 2, dataCentres),
            ...createServers("taller-fotos", 8, 3, dataCentres),
        ],
    });
}

function createAgenda(): ReturnType<typeof service> {
    const reading = createReadClass();
    const booking = requestClass("once", {
        methods: ["POST"],
        isIdempotent: false,
        deadlineMs: 5_000,
        priority: 90,
    });
    return service("agenda", {
        kind: "keyed",
        classes: [reading, booking],
        slices: 64,
        objective: objective({
            imbalance: 0.2,
            churn: 0.4,
            unavailability: 0.4,
            patienceMs: 500,
            restMs: 300_000,
            movesPerMinute: 4,
        }),
    });
}

function createReservas(): ReturnType<typeof service> {
    const reading = createReadClass();
    const deposit = requestClass("once", {
        methods: ["POST"],
        isIdempotent: false,
        deadlineMs: 8_000,
        priority: 95,
        retries: 1,
        intentOutage: "refuse",
    });
    return service("reservas", { kind: "pooled", classes: [reading, deposit] });
}

function createTallerFotos(): ReturnType<typeof service> {
    return createUploadService("taller-fotos", {
        bodyLimitBytes: UPLOAD_LIMIT_BYTES,
        progressTimeoutMs: 20_000,
        readDeadlineMs: 5_000,
    });
}

function createServers(name: string, count: number, network: number, dataCentres: string[]): Server[] {
    return createSampleServers({
        service: name,
        count,
        network: `10.2.${network}`,
        port: 8_080,
        dataCentres,
        slots: SLOTS,
        connections: CONNECTIONS,
    });
}
