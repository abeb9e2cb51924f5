import type { Declaration } from "../declaration/declaration.js";
import type { RequestClass } from "../declaration/requestClass.js";
import type { Service } from "../declaration/service.js";

/** Sorts every list whose order is irrelevant. Classes keep their order, as a request belongs to the first that matches. */
export function getCanonicalDeclaration(declaration: Declaration): Declaration {
    return {
        ...declaration,
        dataCentres: sortTexts(declaration.dataCentres),
        services: sortBy(declaration.services.map(getCanonicalService), service => service.name),
        servers: sortBy(declaration.servers, server => server.name),
    };
}

function getCanonicalService(service: Service): Service {
    return {
        ...service,
        classes: service.classes.map(getCanonicalClass),
        routes: sortBy(service.routes, route => route.key),
    };
}

function getCanonicalClass(requestClass: RequestClass): RequestClass {
    const methods = sortTexts(requestClass.methods);
    if (!requestClass.servers) {
        return { ...requestClass, methods };
    }
    return { ...requestClass, methods, servers: sortTexts(requestClass.servers) };
}

function sortTexts<Text extends string>(texts: readonly Text[]): Text[] {
    return sortBy(texts, text => text);
}

function sortBy<Element>(elements: readonly Element[], getText: (element: Element) => string): Element[] {
    return [...elements].sort((left, right) => compareTexts(getText(left), getText(right)));
}

function compareTexts(left: string, right: string): number {
    if (left === right) {
        return 0;
    }
    return left < right ? -1 : 1;
}
