/** Hop-by-hop header fields (RFC 9110, section 7.6.1), which are not forwarded; in lower case. */
export const HOP_BY_HOP_HEADERS: ReadonlySet<string> = new Set([
    "connection",
    "expect",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
]);
