import type { ClassId, RequestId, ServiceId } from "@arbutusdoor/common";
import type { RelayRequest } from "../../src/relay/relayRequest.js";

/** Creates a request with default fields. */
export function createRequest(id: string, fields: Partial<RelayRequest> = {}): RelayRequest {
    return {
        id: id as RequestId,
        service: "gustboard" as ServiceId,
        key: "beach",
        classId: "read" as ClassId,
        method: "GET",
        path: "/",
        headers: { accept: "text/plain" },
        deadline: 2_000,
        server: undefined,
        slice: undefined,
        hasBody: false,
        ...fields,
    };
}
