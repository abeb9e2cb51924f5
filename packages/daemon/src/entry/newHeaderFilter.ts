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

/**
 * Says which header fields go on to the other side: neither those of one connection alone nor our own.
 * @param connection value of the `connection` field, which may name further fields of the connection
 */
export function newHeaderFilter(connection: string | undefined): (name: string) => boolean {
    const named = new Set((connection ?? "").toLowerCase().split(",").map(name => name.trim()));
    return name => !HOP_BY_HOP.has(name) && !named.has(name) && !name.startsWith(OWN_PREFIX);
}
