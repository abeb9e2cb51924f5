import type { Milliseconds } from "@arbutusdoor/common";
import type { BackendOutcome } from "../backends/backendOutcome.js";
import type { RegisteredServer } from "../discovery/registeredServer.js";
import type { PoolRouting } from "../routing/poolRouting.js";
import type { ForwardableAnswer } from "./forwardableAnswer.js";
import type { GatewayRequest } from "./gatewayRequest.js";
import { isForOwner } from "./isForOwner.js";
import type { UnusableAnswer } from "./unusableAnswer.js";

/** Records how attempts at servers of pools ended; attempts at the owners of keys are not recorded. */
export class AttemptRecorder {
    private readonly pools: PoolRouting;

    constructor(pools: PoolRouting) {
        this.pools = pools;
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
        if (isForOwner(request)) {
            return;
        }
        const isAnswered = answer !== undefined && answer.kind !== "broken";
        const kind = isAnswered ? "answered" : outcome.kind === "notRun" ? "notRun" : "unknown";
        const isWithdrawn = outcome.kind === "cancelled" && !isOverdue;
        this.pools.recordResult(request.service.id, server.id, { kind, durationMs, isWithdrawn });
    }

    /** Records that a server was selected but got no request. */
    recordUnused(request: GatewayRequest, server: RegisteredServer): void {
        if (!isForOwner(request)) {
            const result = { kind: "unknown", durationMs: 0, isWithdrawn: true } as const;
            this.pools.recordResult(request.service.id, server.id, result);
        }
    }
}
