const AMBIGUOUS_CHARACTERS = /[/\\?#]/;

/**
 * Decoded segments of a path, without its query. `undefined` when a server could read the path in another way:
 * empty, `.` or `..` segments, escaped separators, or escapes that cannot be decoded. One slash at the end is left out.
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
