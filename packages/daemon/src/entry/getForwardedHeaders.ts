import type { IncomingHttpHeaders } from "node:http";
import { createHeaderFilter } from "./createHeaderFilter.js";

/** Returns the header fields of a caller that are forwarded to the backend server. */
export function getForwardedHeaders(headers: IncomingHttpHeaders): Record<string, string> {
    const isForwarded = createHeaderFilter(headers.connection);
    const forwarded: Record<string, string> = {};
    for (const [name, value] of Object.entries(headers)) {
        if (value !== undefined && isForwarded(name)) {
            forwarded[name] = Array.isArray(value) ? value.join(", ") : value;
        }
    }
    return forwarded;
}
