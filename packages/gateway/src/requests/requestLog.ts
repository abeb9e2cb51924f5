import type { Clock, Logger, Metrics } from "@arbutusdoor/common";
import type { RegisteredServer } from "../discovery/registeredServer.js";
import type { AttemptTrace } from "./attemptTrace.js";
import type { RequestState } from "./requestState.js";

/** Dependencies of the log. */
type LogParts = { readonly clock: Clock; readonly logger: Logger; readonly metrics: Metrics; };

/** Logs and counts the decisions about requests. */
export class RequestLog {
    private readonly parts: LogParts;

    constructor(parts: LogParts) {
        this.parts = parts;
    }

    /** Records why an attempt did not end its request. */
    recordFailure(
        state: RequestState,
        server: RegisteredServer,
        reason: string,
        detail: string,
        trace?: AttemptTrace,
    ): void {
        state.lastFailure = { reason, detail };
        this.write("attemptFailed", state, {
            server: server.id,
            reason,
            detail,
            connection: trace?.connection,
            durationMs: trace && Math.round(trace.durationMs),
        });
    }

    /** Writes an event of a request, with what the last selection of a server was based on. */
    write(
        event: "attemptFailed" | "requestRefused" | "requestFailed" | "requestAnswered",
        state: RequestState,
        fields: Record<string, string | number | undefined>,
    ): void {
        const { id, key, route, service } = state.request;
        const ageMs = Math.round(this.parts.clock.now() - state.request.arrivedAt);
        this.parts.metrics.count(`arbutusdoor_${event}_total`, {
            service: service.id,
            reason: String(fields["reason"] ?? "none"),
        });
        this.parts.logger.log(event, {
            request: id,
            route: route.name,
            service: service.id,
            key,
            sends: state.sends,
            ageMs,
            configuration: state.request.configurationVersion,
            ...state.selectionFields,
            ...fields,
        });
    }
}
