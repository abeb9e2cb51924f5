import type { RequestId } from "@arbutusdoor/common";
import type { CallerRequest } from "../../src/entry/callerRequest.js";
import { RequestBody } from "../../src/entry/requestBody.js";
import { createDeclaration } from "./createDeclaration.js";

/** Creates a request for a class of a service of `createDeclaration`, with its deadline at 500 ms. */
export function createCallerRequest(
    service: string,
    requestClass: string,
    changes: Partial<CallerRequest> = {},
): CallerRequest {
    const declared = createDeclaration().services.find(other => other.name === service)!;
    return {
        id: "entry-1-a.1" as RequestId,
        tenant: "aqaba",
        service: declared,
        requestClass: declared.classes.find(other => other.name === requestClass)!,
        key: declared.kind === "keyed" ? "beach" : undefined,
        method: "GET",
        path: `/${service}/beach`,
        headers: {},
        body: RequestBody.none(),
        deadlineAt: 500,
        idempotencyKey: undefined,
        signal: new AbortController().signal,
        ...changes,
    };
}
