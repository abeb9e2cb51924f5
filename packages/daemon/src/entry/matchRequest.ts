import { createRefusal, type Refusal } from "@arbutusdoor/common";
import { type Declaration, getClass, type RequestClass, type Service } from "@arbutusdoor/configuration";
import { parseCallerPath } from "./parseCallerPath.js";

/** The service, class and key of a request by the declaration in force, or a refusal when it matches none. */
type RequestMatch =
    | {
        readonly kind: "match";
        readonly service: Service;
        readonly requestClass: RequestClass;
        readonly key: string | undefined;
    }
    | { readonly kind: "refusal"; readonly refusal: Refusal; };

/** Finds the service, the key and the class of a request from its method and URL. */
export function matchRequest(declaration: Declaration, method: string, url: string): RequestMatch {
    const isKeyed = (name: string) =>
        declaration.services.some(service => service.name === name && service.kind === "keyed");
    const path = parseCallerPath(url, isKeyed);
    if (!path) {
        return refuse("malformedRequest", "the path is not well formed");
    }
    const service = declaration.services.find(other => other.name === path.service);
    if (!service) {
        return refuse("unknownService", `no service "${path.service}" is declared`);
    }
    if (service.kind === "keyed" && path.key === undefined) {
        return refuse("missingKey", `a path of service "${service.name}" is /${service.name}/KEY/...`);
    }
    const requestClass = getClass(service, method, path.rest);
    if (!requestClass) {
        return refuse("unknownClass", `no class of service "${service.name}" takes ${method} on this path`);
    }
    return { kind: "match", service, requestClass, key: path.key };
}

function refuse(reason: Refusal["reason"], detail: string): RequestMatch {
    return { kind: "refusal", refusal: createRefusal(reason, detail) };
}
