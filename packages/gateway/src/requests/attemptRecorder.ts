import type { Milliseconds } from "@arbutusdoor/common";
import type { BackendOutcome } from "../backends/backendOutcome.js";
import type { RegisteredServer } from "../discovery/registeredServer.js";
import type { DataCentreTraffic } from "../routing/dataCentreTraffic.js";
import type { LoadReporter } from "../routing/loadReporter.js";
import type { OverloadControl } from "../routing/overloadControl.js";
import type { PoolRouting } from "../routing/poolRouting.js";
import type { ServerAdmission } from "../routing/serverAdmission.js";
import type { ForwardableAnswer } from "./forwardableAnswer.js";
import type { GatewayRequest } from "./gatewayRequest.js";
import { getAnswerBytes } from "./getAnswerBytes.js";
import { isForOwner } from "./isForOwner.js";
import type { UnusableAnswer } from "./unusableAnswer.js";

/** Dependencies of the recorder. */
type RecorderParts = {
    readonly admission: ServerAdmission;
    readonly pools: PoolRouting;
    readonly loads: LoadReporter;
    readonly overload: OverloadControl;
    readonly traffic?: DataCentreTraffic;
};

/**
 * Records how attempts ended: at servers of pools for the choice among them, at all servers for the control of overload and for the traffic
 * between data centres.
 */
export class AttemptRecorder {
    private readonly parts: RecorderParts;

    constructor(parts: RecorderParts) {
        this.parts = parts;
    }

    /**
     * Records the end of an attempt.
     *
     * @param isOverdue whether it took longer than the pool's limit; if it was broken off then, the server counts as slow
     */
    recordEnd(
        request: GatewayRequest,
        server: RegisteredServer,
        outcome: BackendOutcome,
        answer: ForwardableAnswer | UnusableAnswer | undefined,
        durationMs: Milliseconds,
        isOverdue: boolean,
    ): void {
        const answerBytes = answer && getAnswerBytes(answer);
        const isAnswered = answer !== undefined && answer.kind !== "broken";
        const { loads, overload, pools, traffic } = this.parts;
        traffic?.recordAnswer(server, answerBytes ?? 0);
        if (overload.isOn) {
            if (isAnswered) {
                overload.recordAnswer(request, server, durationMs);
            }
            else if (outcome.kind === "notRun" && outcome.cause === "shed") {
                overload.recordShed(request, server, outcome.notice?.load);
                loads.recordShed(server.id);
            }
            else if (isOverdue) {
                overload.recordUnanswered(request, server, durationMs);
            }
        }
        if (isForOwner(request)) {
            traffic?.recordChoice(server, "owner");
            return;
        }
        const kind = isAnswered ? "answered" : outcome.kind === "notRun" ? "notRun" : "unknown";
        const isWithdrawn = outcome.kind === "cancelled" && !isOverdue;
        const route = request.route.name;
        pools.recordResult(request.service.id, server.id, {
            kind,
            durationMs,
            isWithdrawn,
            route,
            answerBytes,
        });
    }

    /** Records what an answer says of its server. */
    recordNotice(server: RegisteredServer, outcome: BackendOutcome): void {
        const { admission, loads } = this.parts;
        const notice = outcome.kind === "answered" || outcome.kind === "notRun" ? outcome.notice : undefined;
        if (notice) {
            admission.recordNotice(server, notice);
            if (notice.isLeaving) {
                loads.recordLeaving(server);
            }
        }
    }

    /** Records that a server was selected but got no request. */
    recordUnused(request: GatewayRequest, server: RegisteredServer): void {
        if (!isForOwner(request)) {
            const route = request.route.name;
            const result = { kind: "unknown", durationMs: 0, isWithdrawn: true, route } as const;
            this.parts.pools.recordResult(request.service.id, server.id, result);
        }
    }
}
