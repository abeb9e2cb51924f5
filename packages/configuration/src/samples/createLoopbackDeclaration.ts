import type { Declaration } from "../declaration/declaration.js";
import { dataCentre } from "../library/dataCentre.js";
import { declaration } from "../library/declaration.js";
import { requestClass } from "../library/requestClass.js";
import { server } from "../library/server.js";
import { service } from "../library/service.js";

const BOARD_ADDRESS = "127.0.0.1:7201";
const PERMIT_ADDRESS = "127.0.0.1:7202";

/** Sample for trials: one data centre with one server for each of two services on the loopback address. */
export function createLoopbackDeclaration(): Declaration {
    const local = dataCentre("local");
    const read = requestClass("read", { methods: ["GET"], isIdempotent: true });
    const once = requestClass("once", { methods: ["POST"], isIdempotent: false, priority: 90 });
    return declaration({
        tenant: "local",
        dataCentres: [local],
        services: [
            service("board", { kind: "keyed", classes: [read], slices: 8 }),
            service("permits", { kind: "pooled", classes: [read, once] }),
        ],
        servers: [
            server("board-1", { dataCentre: local, service: "board", address: BOARD_ADDRESS }),
            server("permits-1", { dataCentre: local, service: "permits", address: PERMIT_ADDRESS }),
        ],
    });
}
