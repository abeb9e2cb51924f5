import { getDigest, InputError } from "@arbutusdoor/common";
import {
    checkDeclaration,
    type Declaration,
    diffDeclarations,
    getClass,
    getDeclarationDigest,
    newAqabaDeclaration,
    newLimaDeclaration,
    printDeclaration,
    printDifference,
    requestClass,
    server,
    service,
} from "@arbutusdoor/configuration";
import fc from "fast-check";
import { expect, test } from "vitest";
import { createTestDeclaration } from "./createTestDeclaration.js";

const SEED = 20_261;

test.each([["aqaba", newAqabaDeclaration], ["lima", newLimaDeclaration]])(
    "the sample of %s has the same canonical text each time",
    async (name, createSample) => {
        const printed = printDeclaration(createSample());
        expect(getDeclarationDigest(createSample())).toBe(getDigest(printed));
        await expect(printed).toMatchFileSnapshot(`golden/${name}.json`);
    },
);

test("errors of the builders name the invalid field", () => {
    const fields = { dataCentre: "north", service: "board", address: "board.example:80" };
    expect(() => server("board-1", fields)).toThrow(InputError);
    expect(() => server("board-1", fields)).toThrow("server \"board-1\": address: must be an IP number");
});

const anyClass = fc.record({
    methods: fc.uniqueArray(fc.constantFrom("GET", "HEAD", "POST", "PUT"), { minLength: 1 }),
    pathPrefix: fc.constantFrom("/", "/logs", "/logs/north", "/closures"),
    isIdempotent: fc.boolean(),
    deadlineMs: fc.integer({ min: 1, max: 5_000 }),
    priority: fc.nat(100),
});

const anyDeclaration = fc.record({
    tenant: fc.constantFrom("one", "two"),
    dataCentres: fc.uniqueArray(fc.constantFrom("north", "south", "port"), { minLength: 1 }),
    classes: fc.array(anyClass, { minLength: 1, maxLength: 4 }),
    serverCount: fc.integer({ min: 1, max: 4 }),
    routeKeys: fc.uniqueArray(fc.string({ minLength: 1, maxLength: 20, unit: "grapheme" }), { maxLength: 3 }),
    slices: fc.integer({ min: 1, max: 128 }),
}).map(({ tenant, dataCentres, classes, serverCount, routeKeys, slices }): Declaration => ({
    format: 1,
    tenant,
    dataCentres,
    services: [
        service("board", {
            kind: "keyed",
            classes: classes.map((fields, index) => requestClass(`class-${index}`, fields)),
            routes: routeKeys.map(key => ({ key, server: "board-0" })),
            slices,
        }),
    ],
    servers: Array.from({ length: serverCount }, (_, index) =>
        server(`board-${index}`, {
            dataCentre: dataCentres[index % dataCentres.length]!,
            service: "board",
            address: `10.0.0.${index + 1}:80`,
        })),
}));

test("a declaration that is printed, parsed, checked and printed again stays the same", () => {
    fc.assert(
        fc.property(anyDeclaration, declaration => {
            const printed = printDeclaration(declaration);
            const check = checkDeclaration(JSON.parse(printed));
            if (check.kind === "invalid") {
                expect(check.problems.every(({ message }) => message.includes("can never match"))).toBe(true);
                return;
            }
            expect(printDeclaration(check.declaration)).toBe(printed);
            expect(diffDeclarations(declaration, check.declaration)).toEqual([]);
        }),
        { seed: SEED },
    );
});

test("the order of construction does not change the printed declaration", () => {
    const declaration = createTestDeclaration();
    const reversed = { ...declaration, servers: [...declaration.servers].reverse() };
    expect(printDeclaration(reversed)).toBe(printDeclaration(declaration));
});

test("two declarations differ exactly when their printed texts do", () => {
    fc.assert(
        fc.property(anyDeclaration, anyDeclaration, (left, right) => {
            const isSame = printDeclaration(left) === printDeclaration(right);
            expect(diffDeclarations(left, right).length === 0).toBe(isSame);
        }),
        { seed: SEED },
    );
});

test("differences are printed as one readable line each", () => {
    const from = createTestDeclaration();
    const [board] = from.services;
    const to: Declaration = {
        ...from,
        dataCentres: ["north", "south"],
        services: [{
            ...board!,
            classes: [...board!.classes.map(other => ({ ...other, priority: 7 }))].reverse(),
            routes: [{ key: "beach", server: "board-2" }, { key: "__proto__", server: "board-1" }],
        }],
        servers: from.servers.slice(1),
    };
    expect(diffDeclarations(from, to).map(printDifference).join("\n")).toMatchInlineSnapshot(`
      "+ dataCentres/south: "south"
      - servers/board-1: {"name":"board-1","dataCentre":"north","service":"board","address":"10.0.0.1:80","slots":4,"connections":50,"checksOrders":true,"isDraining":false}
      ~ services/board/classes/once/priority: 50 -> 7
      ~ services/board/classes/read/priority: 50 -> 7
      ~ services/board/classes: order read, once -> once, read
      + services/board/routes/__proto__: {"key":"__proto__","server":"board-1"}
      ~ services/board/routes/beach/server: "board-1" -> "board-2""
    `);
});

test("every kind of problem is found and reported with its path", () => {
    const base = JSON.parse(printDeclaration(createTestDeclaration()));
    const [board] = base.services;
    const [read, once] = board.classes;
    const [one, two] = base.servers;
    const pool = { ...board, name: "pool", kind: "pooled", routes: [] };
    const draining = { ...one, isDraining: true };
    const cases: Record<string, object> = {
        "not an object": [],
        "unknown field": { ...base, colour: "blue" },
        "bad names and limits": { ...base, services: [{ ...board, name: "Board", slices: 0 }] },
        "names twice": { ...base, dataCentres: ["north", "north"], servers: [one, one] },
        "address twice": { ...base, servers: [one, { ...two, address: one.address }] },
        "address that cannot be": { ...base, servers: [one, { ...two, address: "10.0.0.300:70000" }] },
        "unknown data centre": { ...base, servers: [one, { ...two, dataCentre: "west" }] },
        "unknown service": { ...base, servers: [one, { ...two, service: "bord" }] },
        "fewer connections than slots": { ...base, servers: [one, { ...two, slots: 9, connections: 3 }] },
        "no server": { ...base, servers: [], services: [{ ...board, routes: [] }] },
        "only draining servers": { ...base, servers: [draining], services: [{ ...board, routes: [] }] },
        "route to a draining server": { ...base, servers: [draining, two] },
        "route to an unknown server": {
            ...base,
            services: [{ ...board, routes: [{ key: "a", server: "x" }] }],
        },
        "key that is not Unicode": {
            ...base,
            services: [{ ...board, routes: [{ key: "\ud800", server: "board-1" }] }],
        },
        "key twice": { ...base, services: [{ ...board, routes: [...board.routes, ...board.routes] }] },
        "route of a pooled service": { ...base, services: [{ ...board, kind: "pooled" }] },
        "class twice": { ...base, services: [{ ...board, classes: [read, { ...once, name: "read" }] }] },
        "class that never matches": {
            ...base,
            services: [{ ...board, classes: [read, { ...read, name: "gust", pathPrefix: "/gust" }] }],
        },
        "class shadowed by two": {
            ...base,
            services: [{
                ...board,
                classes: [read, once, { ...once, name: "all", methods: ["GET", "POST"] }],
            }],
        },
        "ambiguous prefix": {
            ...base,
            services: [{ ...board, classes: [{ ...read, pathPrefix: "/a/../b" }] }],
        },
        "servers of a keyed class": {
            ...base,
            services: [{ ...board, classes: [{ ...read, servers: ["board-1"] }] }],
        },
        "unknown server of a class": {
            ...base,
            services: [board, { ...pool, classes: [{ ...read, servers: ["board-1", "board-1"] }] }],
        },
        "weights all zero": {
            ...base,
            services: [{ ...board, objective: { imbalance: 0, churn: 0, unavailability: 0 } }],
        },
    };
    const found = Object.entries(cases).map(([name, json]) => {
        const check = checkDeclaration(json);
        const problems = check.kind === "invalid" ? check.problems : [];
        expect(problems, name).not.toEqual([]);
        return [`${name}:`, ...problems.map(({ path, message }) => `  ${path}: ${message}`)].join("\n");
    });
    expect(checkDeclaration(base).kind).toBe("valid");
    expect(found.join("\n")).toMatchInlineSnapshot(`
      "not an object:
        : Invalid input: expected object, received array
      unknown field:
        : Unrecognized key: "colour"
      bad names and limits:
        services[0].name: must be 1 to 63 lower-case letters, digits or hyphens
        services[0].slices: Too small: expected number to be >=1
      names twice:
        dataCentres[1]: data centre "north" is declared twice
        servers[1]: server "board-1" is declared twice
        servers[1]: address "10.0.0.1:80" is declared twice
      address twice:
        servers[1]: address "10.0.0.1:80" is declared twice
      address that cannot be:
        servers[1].address: must be an IP number and a port from 1 to 65535
      unknown data centre:
        servers[1].dataCentre: data centre "west" is not declared
      unknown service:
        servers[1].service: service "bord" is not declared
      fewer connections than slots:
        servers[1].connections: 3 connections cannot carry 9 slots
      no server:
        services[0]: a keyed service needs at least one server
      only draining servers:
        services[0]: a keyed service needs at least one server that is not draining
      route to a draining server:
        services[0].routes[0].server: server "board-1" is draining and cannot own a routed key
      route to an unknown server:
        services[0].routes[0].server: "x" is not a server of service "board"
      key that is not Unicode:
        services[0].routes[0].key: must be well-formed Unicode
      key twice:
        services[0].routes[1]: key "beach" is declared twice
      route of a pooled service:
        services[0].routes: a pooled service has no keys to route
      class twice:
        services[0].classes[1]: class "read" is declared twice
      class that never matches:
        services[0].classes[1]: class "gust" can never match: all of it goes to "read"
      class shadowed by two:
        services[0].classes[2]: class "all" can never match: all of it goes to "read" and "once"
      ambiguous prefix:
        services[0].classes[0].pathPrefix: must be a plain path: no empty or dot segments, no query, no escaped slashes
      servers of a keyed class:
        services[0].classes[0].servers: a class of a keyed service goes to the owner of its key
      unknown server of a class:
        services[1].classes[0].servers[1]: server "board-1" is declared twice
        services[1].classes[0].servers[0]: "board-1" is not a server of service "pool"
        services[1].classes[0].servers[1]: "board-1" is not a server of service "pool"
      weights all zero:
        services[0].objective: at least one weight must be above 0"
    `);
});

test("a request belongs to the first class that matches its method and path, or to none when the path is ambiguous", () => {
    const board = service("board", {
        kind: "pooled",
        classes: [
            requestClass("closure", { methods: ["POST"], pathPrefix: "/closures", isIdempotent: false }),
            requestClass("post", { methods: ["POST"], isIdempotent: true }),
            requestClass("read", { methods: ["GET"], pathPrefix: "/wind/", isIdempotent: true }),
        ],
    });
    const requests = [
        "POST /closures",
        "POST /closures/",
        "POST /closures/7?force=1",
        "POST /%63losures/7",
        "POST /closures-old",
        "POST ",
        "POST /",
        "POST /?a=/../b",
        "POST //closures",
        "POST /./closures",
        "POST /x/../closures",
        "POST /x/%2e%2E/closures",
        "POST /x%2f..%2fclosures",
        "POST /x\\closures",
        "POST /%zz",
        "GET /wind",
        "GET /wind/north",
        "GET /windy",
        "get /wind",
        "DELETE /",
    ];
    const classes = requests.map(request => {
        const [method = "", path = ""] = request.split(" ");
        return `${request} -> ${getClass(board, method, path)?.name ?? "none"}`;
    });
    expect(classes.join("\n")).toMatchInlineSnapshot(`
      "POST /closures -> closure
      POST /closures/ -> closure
      POST /closures/7?force=1 -> closure
      POST /%63losures/7 -> closure
      POST /closures-old -> post
      POST  -> post
      POST / -> post
      POST /?a=/../b -> post
      POST //closures -> none
      POST /./closures -> none
      POST /x/../closures -> none
      POST /x/%2e%2E/closures -> none
      POST /x%2f..%2fclosures -> none
      POST /x\\closures -> none
      POST /%zz -> none
      GET /wind -> read
      GET /wind/north -> read
      GET /windy -> none
      get /wind -> none
      DELETE / -> none"
    `);
});
