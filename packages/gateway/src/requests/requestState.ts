import type { ConnectionId, Milliseconds, ServerId } from "@arbutusdoor/common";
import type { CallerReturn } from "@arbutusdoor/policy";
import type { RegisteredServer } from "../discovery/registeredServer.js";
import type { ForwardableAnswer } from "./forwardableAnswer.js";
import type { GatewayRequest } from "./gatewayRequest.js";
import type { RunningAttempts } from "./runningAttempts.js";

/** Why an attempt did not end the request. */
type Failure = { readonly reason: string; readonly detail: string; };

/** State of a request across its attempts. */
export type RequestState = {
    readonly request: GatewayRequest;
    readonly excludedServers: Set<ServerId>;
    /** Attempts that have not ended. */
    readonly running: RunningAttempts;
    /** Connections that carried its attempts. */
    readonly carriers: Set<ConnectionId>;
    sends: number;
    /** Attempts that have ended and in which it may have run. */
    runs: number;
    /** Whether its caller has come back after an earlier refusal, and how long ago the first attempt was. */
    caller: CallerReturn;
    /** The server that was last considered or asked. */
    consideredServer: RegisteredServer | undefined;
    lastFailure: Failure | undefined;
    /** How long the server of the request, or all servers of its service, want no requests; `undefined` unless that is why it is refused. */
    quietTime: Milliseconds | undefined;
    /** Log fields: what the last selection of a server was based on. */
    selectionFields: Record<string, string | number>;
    /** A server's error answer, which is returned unless another attempt succeeds. */
    errorAnswer: ForwardableAnswer | undefined;
};
