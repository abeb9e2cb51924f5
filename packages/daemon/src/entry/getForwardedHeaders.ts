import type { IncomingHttpHeaders } from "node:http";

const HOP_BY_HOP = new Set([
    "connection",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "host",
    "expect",
]);
const OWN_PREFIX = "arbutusdoor-";

/** The headers that go on to the other side: neither those of one connection alone nor our own. */
export function getForwardedHeaders(headers: IncomingHttpHeaders): Record<string, string> {
    const perConnection = new Set(
        (headers.connection ?? "").toLowerCase().split(",").map(name => name.trim()),
    );
    const forwarded: Record<string, string> = {};
    for (const [name, value] of Object.entries(headers)) {
        const isDropped = HOP_BY_HOP.has(name) || perConnection.has(name) || name.startsWith(OWN_PREFIX);
        if (!isDropped && value !== undefined) {
            forwarded[name] = Array.isArray(value) ? value.join(", ") : value;
        }
    }
    return forwarded;
}
