import type { RequestClass } from "../declaration/requestClass.js";
import type { Server } from "../declaration/server.js";
import type { Service } from "../declaration/service.js";
import { getPathSegments } from "../matching/getPathSegments.js";
import { hasPrefix } from "../matching/hasPrefix.js";
import { getDuplicateProblems } from "./getDuplicateProblems.js";
import type { Problem } from "./problem.js";

/** Returns the problems of classes: duplicate names, classes that no request can reach, and servers they cannot use. */
export function getClassProblems(service: Service, path: string, servers: readonly Server[]): Problem[] {
    const classesPath = `${path}.classes`;
    const serverNames = new Set(servers.map(server => server.name));
    return [
        ...getDuplicateProblems(classesPath, "class", service.classes.map(({ name }) => name)),
        ...service.classes.flatMap((requestClass, index) => {
            const classPath = `${classesPath}[${index}]`;
            return [
                ...getDuplicateProblems(`${classPath}.methods`, "method", requestClass.methods),
                ...getMatchProblems(requestClass, classPath, service.classes.slice(0, index)),
                ...getClassServerProblems(service, requestClass, classPath, serverNames),
            ];
        }),
    ];
}

function getMatchProblems(requestClass: RequestClass, path: string, earlier: RequestClass[]): Problem[] {
    const segments = getPathSegments(requestClass.pathPrefix);
    if (!segments) {
        const message = "must be a plain path: no empty or dot segments, no query, no escaped slashes";
        return [{ path: `${path}.pathPrefix`, message }];
    }
    const covers = requestClass.methods.map(method =>
        earlier.find(other => {
            const prefix = getPathSegments(other.pathPrefix);
            return other.methods.includes(method) && prefix && hasPrefix(segments, prefix);
        })
    );
    if (covers.some(cover => !cover)) {
        return [];
    }
    const names = [...new Set(covers.map(cover => `"${cover?.name}"`))].join(" and ");
    return [{ path, message: `class "${requestClass.name}" can never match: all of it goes to ${names}` }];
}

function getClassServerProblems(
    service: Service,
    requestClass: RequestClass,
    path: string,
    serverNames: ReadonlySet<string>,
): Problem[] {
    const serversPath = `${path}.servers`;
    const names = requestClass.servers ?? [];
    if (names.length > 0 && service.kind === "keyed") {
        return [{ path: serversPath, message: "a class of a keyed service goes to the owner of its key" }];
    }
    const problems = getDuplicateProblems(serversPath, "server", names);
    for (const [index, name] of names.entries()) {
        if (!serverNames.has(name)) {
            const message = `"${name}" is not a server of service "${service.name}"`;
            problems.push({ path: `${serversPath}[${index}]`, message });
        }
    }
    return problems;
}
