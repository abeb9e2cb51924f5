import type { CallerPath } from "./callerPath.js";

/** Parses a caller's path; returns `undefined` when it is malformed. */
export function parseCallerPath(url: string, isKeyed: (service: string) => boolean): CallerPath | undefined {
    const pathEnd = url.search(/[?#]/);
    const path = pathEnd < 0 ? url : url.slice(0, pathEnd);
    const segments = path.split("/");
    const service = decode(segments[1] ?? "");
    if (segments[0] !== "" || service === undefined) {
        return undefined;
    }
    if (!isKeyed(service)) {
        return { service, key: undefined, rest: `/${segments.slice(2).join("/")}` };
    }
    const key = decode(segments[2] ?? "");
    if (key === undefined) {
        return undefined;
    }
    return { service, key: key === "" ? undefined : key, rest: `/${segments.slice(3).join("/")}` };
}

function decode(segment: string): string | undefined {
    try {
        return decodeURIComponent(segment);
    }
    catch {
        return undefined;
    }
}
