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

/** The headers of an answer that its record keeps: those that say what the body is and where its result lies. */
export function getRecordedHeaders(headers: Readonly<Record<string, string>>): Record<string, string> {
    return Object.fromEntries(
        Object.entries(headers).filter(([name]) => RECORDED_HEADERS.has(name.toLowerCase())),
    );
}
