import type { HeaderFields } from "@arbutusdoor/common";
import { createHeaderFilter } from "./createHeaderFilter.js";

/** Returns the header fields of a backend server that are forwarded to the caller; cookies stay separate fields. */
export function getAnswerHeaders(headers: HeaderFields): Record<string, string | string[]> {
    const { connection } = headers;
    const isForwarded = createHeaderFilter(
        typeof connection === "string" ? connection : connection?.join(","),
    );
    const forwarded: Record<string, string | string[]> = {};
    for (const [name, value] of Object.entries(headers)) {
        if (isForwarded(name)) {
            forwarded[name] = typeof value === "string" ? value : [...value];
        }
    }
    return forwarded;
}
