import { HOP_BY_HOP_HEADERS } from "@arbutusdoor/common";

/** Values of `connection` that do not name other fields. */
const STANDARD_VALUES = new Set(["keep-alive", "Keep-Alive", "close"]);
/** Its values can contain commas. */
const UNJOINED = "set-cookie";
const NONE: ReadonlySet<string> = new Set();

/** Header fields as parsed. */
type RawHeaders = Readonly<Record<string, string | string[] | undefined>>;

/**
 * Returns header fields by lower-case name, without hop-by-hop fields (including those named by the `connection` field) and
 * without the `dropped` ones. Repeated fields are joined with commas, except for `set-cookie`.
 */
export function getEndToEndHeaders(
    raw: RawHeaders,
    dropped: ReadonlySet<string> = NONE,
): Record<string, string | string[]> {
    const named = getNames(raw.connection);
    const headers: Record<string, string | string[]> = {};
    for (const name in raw) {
        const value = raw[name];
        const lowerCase = name.toLowerCase();
        const isDropped = HOP_BY_HOP_HEADERS.has(lowerCase) || named.has(lowerCase) || dropped.has(lowerCase);
        if (value !== undefined && !isDropped) {
            headers[lowerCase] = typeof value === "string" || lowerCase === UNJOINED
                ? value
                : value.join(", ");
        }
    }
    return headers;
}

function getNames(connection: string | string[] | undefined): ReadonlySet<string> {
    if (connection === undefined || STANDARD_VALUES.has(String(connection))) {
        return NONE;
    }
    return new Set(String(connection).split(",").map(name => name.trim().toLowerCase()));
}
