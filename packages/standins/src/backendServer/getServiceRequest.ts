import type { StandInRequest } from "../common/standInRequest.js";
import type { ServiceRequest } from "./serviceRequest.js";

/** Reads the fields of a request. */
export function getServiceRequest(request: StandInRequest): ServiceRequest {
    const { headers, query } = request;
    return {
        requestId: String(headers["arbutusdoor-request-id"] ?? "none"),
        idempotencyKey: getText(headers["idempotency-key"]),
        slice: getText(headers["arbutusdoor-slice"]),
        generation: getNumber(headers["arbutusdoor-generation"]),
        deadline: getNumber(headers["arbutusdoor-deadline-ms"]),
        method: request.method ?? "GET",
        path: request.url ?? "/",
        delay: getNumber(query.delay) ?? 0,
        answerBytes: getNumber(query.bytes),
    };
}

function getText(value: unknown): string | undefined {
    return typeof value === "string" ? value : undefined;
}

function getNumber(value: unknown): number | undefined {
    const number = Number(getText(value));
    return Number.isFinite(number) && number >= 0 ? number : undefined;
}
