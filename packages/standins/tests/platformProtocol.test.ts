import { expect, test } from "vitest";
import { PlatformProtocol } from "../src/caller/platformProtocol.js";

const CALL = {
    name: "load-1",
    kind: "read",
    method: "GET",
    path: "/agenda/key-3/read",
    headers: {},
    body: undefined,
} as const;
const SIGNED = { "x-response-signature": "stand-in" };

test.each([
    ["a signed answer", 200, SIGNED, "answered"],
    ["a server's own failure of this request", 500, { ...SIGNED, "x-request-id": "load-1-1" }, "unknown"],
    ["a failure of another request, which then counts as a wrong answer", 500, {
        ...SIGNED,
        "x-request-id": "load-2-1",
    }, "answered"],
    ["a failure without an id, likewise", 500, SIGNED, "answered"],
    ["a host's refusal", 503, {}, "notRun"],
    ["a host's word that the outcome is unknown", 502, {}, "unknown"],
])("%s", (_, status, headers, outcome) => {
    const protocol = new PlatformProtocol("soak.example");
    expect(protocol.readHead(CALL, 1, status, headers)).toMatchObject({ outcome, requestId: "load-1-1" });
});
