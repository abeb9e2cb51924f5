import type { ServerId } from "@arbutusdoor/common";
import type { ForwardableAnswer } from "./forwardableAnswer.js";
import type { GatewayRequest } from "./gatewayRequest.js";

/** Why an attempt did not end the request. */
type Failure = { readonly reason: string; readonly detail: string; };

/** What has happened to a request so far. */
export type RequestState = {
    readonly request: GatewayRequest;
    readonly excludedServers: Set<ServerId>;
    sends: number;
    /** Servers on which it may have run. */
    runs: number;
    lastFailure: Failure | undefined;
    /** What the last choice of a server was based on. */
    selectionFields: Record<string, string | number>;
    /** A failure that a server answered, kept in case no other server does better. */
    errorAnswer: ForwardableAnswer | undefined;
};
