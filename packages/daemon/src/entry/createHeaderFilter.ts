import { HOP_BY_HOP_HEADERS } from "@arbutusdoor/common";

const HOST_HEADER = "host";
const OWN_PREFIX = "arbutusdoor-";

/**
 * Says which header fields go on to the other side: neither those of one connection alone nor our own.
 * @param connection value of the `connection` field, which may name further fields of the connection
 */
export function createHeaderFilter(connection: string | undefined): (name: string) => boolean {
    const named = new Set((connection ?? "").toLowerCase().split(",").map(name => name.trim()));
    return name => {
        const isOfConnection = HOP_BY_HOP_HEADERS.has(name) || name === HOST_HEADER || named.has(name);
        return !isOfConnection && !name.startsWith(OWN_PREFIX);
    };
}
