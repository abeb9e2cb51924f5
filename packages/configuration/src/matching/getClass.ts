import type { RequestClass } from "../declaration/requestClass.js";
import type { Service } from "../declaration/service.js";
import { getPathSegments } from "./getPathSegments.js";
import { hasPrefix } from "./hasPrefix.js";

/**
 * The first class of a service that takes the method and the rest of the path (after the service and the key).
 * Prefixes match by whole segments. `undefined` when no class takes it, or when the path can be read in two ways:
 * a request must not reach a class with the promises of another.
 */
export function getClass(service: Service, method: string, pathRest: string): RequestClass | undefined {
    const segments = getPathSegments(pathRest);
    if (!segments) {
        return undefined;
    }
    return service.classes.find(requestClass => {
        const prefix = getPathSegments(requestClass.pathPrefix);
        return requestClass.methods.some(taken => taken === method) && prefix && hasPrefix(segments, prefix);
    });
}
