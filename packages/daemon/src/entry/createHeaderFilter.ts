import { HOP_BY_HOP_HEADERS } from "@arbutusdoor/common";

const HOST_HEADER = "host";
const OWN_PREFIX = "arbutusdoor-";

/**
 * Creates a predicate that tells whether a header field is forwarded: neither hop-by-hop fields nor arbutusdoor's own are.
 * @param connection value of the `connection` field, which may name further hop-by-hop fields
 */
export function createHeaderFilter(connection: string | undefined): (name: string) => boolean {
    const connectionFields = new Set((connection ?? "").toLowerCase().split(",").map(name => name.trim()));
    return name => {
        const isHopByHop = HOP_BY_HOP_HEADERS.has(name) || name === HOST_HEADER || connectionFields.has(name);
        return !isHopByHop && !name.startsWith(OWN_PREFIX);
    };
}
