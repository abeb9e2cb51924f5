import type { Clock } from "@arbutusdoor/common";
import type { GatewayRequest } from "./gatewayRequest.js";
import type { RequestState } from "./requestState.js";
import { RunningAttempts } from "./runningAttempts.js";

/** Creates the state of a request before its first attempt. */
export function createRequestState(request: GatewayRequest, clock: Clock): RequestState {
    return {
        request,
        excludedServers: new Set(),
        running: new RunningAttempts(clock),
        carriers: new Set(),
        sends: 0,
        runs: 0,
        caller: { kind: "first", elapsedMs: 0 },
        consideredServer: undefined,
        lastFailure: undefined,
        quietTime: undefined,
        selectionFields: {},
        errorAnswer: undefined,
    };
}
