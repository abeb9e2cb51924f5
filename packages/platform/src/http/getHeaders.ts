/** Fields that concern one connection only (RFC 9110, section 7.6.1) and are not passed on. */
const HOP_BY_HOP = new Set([
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

/** Header fields as a parser gives them. */
type RawHeaders = Readonly<Record<string, string | string[] | undefined>>;

/**
 * Header fields by lower-case name without those that concern one connection only, including those that
 * the `connection` field names. Repeated fields are joined by commas.
 */
export function getHeaders(raw: RawHeaders): Record<string, string> {
    const named = getNames(raw.connection);
    const headers: Record<string, string> = {};
    for (const [name, value] of Object.entries(raw)) {
        const lowerCase = name.toLowerCase();
        if (value === undefined || HOP_BY_HOP.has(lowerCase) || named.has(lowerCase)) {
            continue;
        }
        headers[lowerCase] = Array.isArray(value) ? value.join(", ") : value;
    }
    return headers;
}

function getNames(connection: string | string[] | undefined): Set<string> {
    const text = String(connection ?? "");
    return new Set(text.split(",").map(name => name.trim().toLowerCase()));
}
