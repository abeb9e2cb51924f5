import { Declaration } from "@arbutusdoor/configuration";

/** Creates a declaration with a keyed service "board" and a pooled service "permits" of two servers. */
export function createDeclaration(): Declaration {
    const read = { name: "read", methods: ["GET"], isIdempotent: true, deadlineMs: 500 };
    const once = {
        name: "once",
        methods: ["POST"],
        isIdempotent: false,
        deadlineMs: 500,
        bodyLimitBytes: 1_000,
    };
    const server = (name: string, service: string, port: number) => ({
        name,
        service,
        dataCentre: "north",
        address: `127.0.0.1:${port}`,
    });
    return Declaration.parse({
        format: 1,
        tenant: "aqaba",
        dataCentres: ["north"],
        services: [
            { name: "board", kind: "keyed", classes: [read] },
            { name: "permits", kind: "pooled", classes: [read, once] },
        ],
        servers: [
            server("board-1", "board", 1),
            server("permits-1", "permits", 2),
            server("permits-2", "permits", 3),
        ],
    });
}
