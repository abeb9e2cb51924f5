const AMBIGUOUS_CHARACTERS = /[/\\?#]/;

/**
 * Returns the decoded segments of a path, without its query; one trailing slash is ignored. Returns `undefined` when a
 * server could interpret the path differently: empty, `.` or `..` segments, escaped separators, or invalid escapes.
 */
export function getPathSegments(path: string): readonly string[] | undefined {
    const withoutQuery = path.split("?", 1)[0] ?? "";
    const trimmed = withoutQuery.replace(/^\//, "").replace(/\/$/, "");
    if (trimmed === "") {
        return withoutQuery.length <= 1 ? [] : undefined;
    }
    const segments: string[] = [];
    for (const part of trimmed.split("/")) {
        const segment = decodeSegment(part);
        if (segment === undefined) {
            return undefined;
        }
        segments.push(segment);
    }
    return segments;
}

function decodeSegment(part: string): string | undefined {
    let segment: string;
    try {
        segment = decodeURIComponent(part);
    }
    catch {
        return undefined;
    }
    const isAmbiguous = segment === "" || segment === "." || segment === ".."
        || AMBIGUOUS_CHARACTERS.test(segment);
    return isAmbiguous ? undefined : segment;
}
