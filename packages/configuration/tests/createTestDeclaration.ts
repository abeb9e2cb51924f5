import {
    type Declaration,
    declaration,
    requestClass,
    route,
    server,
    service,
} from "@arbutusdoor/configuration";

/** Creates a small valid declaration; `deadlineMs` distinguishes one from another. */
export function createTestDeclaration(deadlineMs = 900): Declaration {
    const reading = requestClass("read", { methods: ["GET"], isIdempotent: true, deadlineMs });
    const filing = requestClass("once", { methods: ["POST"], pathPrefix: "/closures", isIdempotent: false });
    const fields = { dataCentre: "north", service: "board" };
    return declaration({
        tenant: "test",
        dataCentres: ["north"],
        services: [
            service("board", {
                kind: "keyed",
                classes: [reading, filing],
                routes: [route("beach", "board-1")],
            }),
        ],
        servers: [
            server("board-1", { ...fields, address: "10.0.0.1:80" }),
            server("board-2", { ...fields, address: "10.0.0.2:80" }),
        ],
    });
}
