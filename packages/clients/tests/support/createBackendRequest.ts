import type { BackendRequest } from "@arbutusdoor/clients";
import type { RequestId, ServerId } from "@arbutusdoor/common";

/** Creates a plain GET request to an address, with changes by the test. */
export function createBackendRequest(address: string, changes: Partial<BackendRequest> = {}): BackendRequest {
    return {
        id: "h1-1" as RequestId,
        server: "s1" as ServerId,
        address,
        method: "GET",
        path: "/beach/1",
        headers: {},
        body: undefined,
        deadline: 1_000,
        slice: undefined,
        signal: new AbortController().signal,
        ...changes,
    };
}
