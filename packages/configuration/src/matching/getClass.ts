import type { RequestClass } from "../declaration/requestClass.js";
import type { Service } from "../declaration/service.js";
import { getPathSegments } from "./getPathSegments.js";
import { hasPrefix } from "./hasPrefix.js";

/**
 * Returns the first class of a service that matches the method and the rest of the path (after the service and the key).
 * Prefixes match whole segments. Returns `undefined` when no class matches, or when the path is ambiguous: a request must
 * not be treated by the rules of one class when the server sees it as another.
 */
export function getClass(service: Service, method: string, pathRest: string): RequestClass | undefined {
    const segments = getPathSegments(pathRest);
    if (!segments) {
        return undefined;
    }
    return service.classes.find(requestClass => {
        const prefix = getPathSegments(requestClass.pathPrefix);
        return requestClass.methods.some(other => other === method) && prefix && hasPrefix(segments, prefix);
    });
}
