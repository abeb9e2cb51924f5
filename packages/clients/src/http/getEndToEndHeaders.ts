import { HOP_BY_HOP_HEADERS } from "@arbutusdoor/common";

/** Values of `connection` that name no other field. */
const STANDARD_VALUES = new Set(["keep-alive", "Keep-Alive", "close"]);
/** Its values hold commas of their own. */
const UNJOINED = "set-cookie";
const NONE: ReadonlySet<string> = new Set();

/** Header fields as a parser gives them. */
type RawHeaders = Readonly<Record<string, string | string[] | undefined>>;

/**
 * Header fields by lower-case name without those that concern one connection only, including those that the `connection`
 * field names, and without the `dropped` ones. Repeated fields are joined by commas, but for cookies.
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
