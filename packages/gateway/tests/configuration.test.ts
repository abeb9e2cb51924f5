import type { ServiceId } from "@arbutusdoor/common";
import { expect, test } from "vitest";
import type { Route } from "../src/configuration/route.js";
import { RouteTable } from "../src/configuration/routeTable.js";
import { TargetRotation } from "../src/configuration/targetRotation.js";
import { createRoute } from "./support/createRoute.js";

function createTable(...routes: readonly Route[]): RouteTable {
    const limits = { headerBytes: 1, bodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 };
    return new RouteTable({ version: 1, routes, services: [], limits });
}

test("the route with the longest matching prefix is found, by host name without port and in any letter case", () => {
    const table = createTable(
        createRoute({ name: "all", pathPrefix: "/" }),
        createRoute({ name: "a", pathPrefix: "/a/" }),
        createRoute({ name: "ab", pathPrefix: "/a/b/" }),
        createRoute({ name: "other", authority: "other.example", pathPrefix: "/a/" }),
    );
    const paths = ["/", "/x", "/a", "/a/", "/a/b", "/a/b/", "/a/b/c/d", "/ab/"];
    const found = paths.map(path => `${path} -> ${table.match("Board.Example:80", path)?.name}`);
    expect(found).toMatchInlineSnapshot(`
      [
        "/ -> all",
        "/x -> all",
        "/a -> all",
        "/a/ -> a",
        "/a/b -> a",
        "/a/b/ -> ab",
        "/a/b/c/d -> ab",
        "/ab/ -> all",
      ]
    `);
    expect(table.match("other.example", "/b/")).toBeUndefined();
    expect(table.match("unknown.example", "/a/")).toBeUndefined();
});

test("targets get requests in proportion to their weights in any period", () => {
    const rotation = new TargetRotation();
    const route = createRoute({
        targets: [{ service: "a" as ServiceId, weight: 90 }, { service: "b" as ServiceId, weight: 10 }],
    });
    const chosen = Array.from({ length: 40 }, () => rotation.next(route));
    const shares = [0, 10, 20, 30].map(start =>
        chosen.slice(start, start + 10).filter(name => name === "b").length
    );
    expect(shares).toEqual([1, 1, 1, 1]);
});
