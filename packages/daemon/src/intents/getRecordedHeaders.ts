import type { HeaderFields } from "@arbutusdoor/common";
const RECORDED_HEADERS: ReadonlySet<string> = new Set([
    "content-type",
    "content-encoding",
    "content-language",
    "content-disposition",
    "cache-control",
    "etag",
    "last-modified",
    "location",
    "retry-after",
]);

/** Returns the headers of an answer that are recorded: those that describe the body and locate the result. */
export function getRecordedHeaders(headers: HeaderFields): Record<string, string> {
    const recorded: Record<string, string> = {};
    for (const [name, value] of Object.entries(headers)) {
        if (typeof value === "string" && RECORDED_HEADERS.has(name.toLowerCase())) {
            recorded[name] = value;
        }
    }
    return recorded;
}
