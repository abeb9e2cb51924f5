import type { Clock, Logger, Metrics, Milliseconds, ShutdownSchedule } from "@arbutusdoor/common";
import type { BackendClient } from "../backends/backendClient.js";
import type { BackendOutcome } from "../backends/backendOutcome.js";
import type { RegisteredServer } from "../discovery/registeredServer.js";
import type { DataCentreTraffic } from "../routing/dataCentreTraffic.js";
import type { KeyRouting } from "../routing/keyRouting.js";
import type { LoadReporter } from "../routing/loadReporter.js";
import type { OverloadControl } from "../routing/overloadControl.js";
import type { PoolRouting } from "../routing/poolRouting.js";
import type { ServerAdmission } from "../routing/serverAdmission.js";
import type { ServerLoads } from "../routing/serverLoads.js";
import type { SharedRetryBudget } from "../routing/sharedRetryBudget.js";
import { AttemptRecorder } from "./attemptRecorder.js";
import type { AttemptTrace } from "./attemptTrace.js";
import { createRequestState } from "./createRequestState.js";
import { destroyOverdueBody } from "./destroyOverdueBody.js";
import type { ForwardableAnswer } from "./forwardableAnswer.js";
import type { GatewayReply } from "./gatewayReply.js";
import type { GatewayRequest } from "./gatewayRequest.js";
import { getSentBody } from "./getSentBody.js";
import { isForOwner } from "./isForOwner.js";
import { mayRetryRequest } from "./mayRetryRequest.js";
import { minTimeLeftMs } from "./minTimeLeftMs.js";
import { readAnswer } from "./readAnswer.js";
import { RequestLog } from "./requestLog.js";
import type { RequestState } from "./requestState.js";
import { ServerSelector } from "./serverSelector.js";
import type { UnusableAnswer } from "./unusableAnswer.js";

const RETRY_AFTER_MS = 300;
const FIRST_FAILURE_STATUS = 500;
const SERVICE_UNAVAILABLE = 503;
const BAD_GATEWAY = 502;
const GATEWAY_TIMEOUT = 504;
const MICROSECONDS_PER_MS = 1_000;

/** Dependencies of the router. */
type RouterParts = {
    readonly clock: Clock;
    readonly logger: Logger;
    readonly metrics: Metrics;
    readonly backends: BackendClient;
    readonly keys: KeyRouting;
    readonly pools: PoolRouting;
    readonly admission: ServerAdmission;
    readonly budget: SharedRetryBudget;
    readonly loads: LoadReporter;
    readonly serverLoads: ServerLoads;
    readonly overload: OverloadControl;
    readonly shutdown: ShutdownSchedule;
    readonly traffic?: DataCentreTraffic;
};

/** Routes requests to backend servers: selects a server, sends the request, and retries where that is safe and within the budget. */
export class RequestRouter {
    private readonly parts: RouterParts;
    private readonly selector: ServerSelector;
    private readonly recorder: AttemptRecorder;
    private readonly log: RequestLog;

    constructor(parts: RouterParts) {
        this.parts = parts;
        this.selector = new ServerSelector(parts);
        this.recorder = new AttemptRecorder(parts);
        this.log = new RequestLog(parts);
    }

    /** Routes a request and returns the reply to its caller. Never rejects. */
    async route(request: GatewayRequest): Promise<GatewayReply> {
        const { budget, clock, loads, overload } = this.parts;
        const state = createRequestState(request, clock);
        state.caller = overload.recordArrival(request);
        budget.recordRequest(request.service.id, clock.now());
        if (request.service.isKeyed && request.key !== undefined) {
            loads.recordRequest(request.service.id, request.key);
        }
        for (;;) {
            const reply = await this.attempt(state);
            if (reply) {
                state.running.cancel();
                return reply;
            }
        }
    }

    /**
     * Makes one attempt, and waits for its end as long as its limit allows. Returns `undefined` when another one is to follow, beside it if it
     * has not ended.
     */
    private async attempt(state: RequestState): Promise<GatewayReply | undefined> {
        const { request, running } = state;
        if (running.reply || (state.sends > 0 && !mayRetryRequest(state, this.getTimeLeft(request)))) {
            return await this.finish(state);
        }
        if (!this.parts.shutdown.canServe(request.deadlineAt)) {
            if (state.runs + running.size === 0) {
                state.lastFailure = { reason: "stopping", detail: "" };
            }
            return await this.finish(state);
        }
        const server = await this.selector.select(state);
        const timeLeft = this.getTimeLeft(request);
        if (server && (request.callerGone.aborted || timeLeft < minTimeLeftMs)) {
            this.recorder.recordUnused(request, server);
        }
        if (request.callerGone.aborted) {
            return { kind: "gone" };
        }
        if (!server || timeLeft < minTimeLeftMs) {
            return await this.finish(state);
        }
        if (!this.parts.overload.admits(state, server)) {
            this.recorder.recordUnused(state.request, server);
            return await this.finish(state);
        }
        if (state.sends > 0 && !this.parts.budget.spend(request.service.id, this.parts.clock.now())) {
            this.recorder.recordUnused(state.request, server);
            state.selectionFields = { ...state.selectionFields, budget: "spent" };
            return await this.finish(state);
        }
        state.sends++;
        const limit = this.getAttemptLimit(request, timeLeft);
        running.start(controller => this.runAttempt(state, server, timeLeft, controller));
        const end = await running.wait(limit < timeLeft ? limit : undefined);
        if (end !== "overdue") {
            return end;
        }
        state.excludedServers.add(server.id);
        this.log.recordFailure(state, server, "overdue", "another server is asked beside it");
        return undefined;
    }

    /** Waits for the attempts that have not ended. Returns the first reply, or that to a request without one. */
    private async finish(state: RequestState): Promise<GatewayReply> {
        const { running } = state;
        while (running.size > 0 && !running.reply) {
            await running.wait();
        }
        return running.reply ?? this.giveUp(state);
    }

    /** Makes an attempt. After an internal error it is not known whether it was sent; the error must not end other requests. */
    private async runAttempt(
        state: RequestState,
        server: RegisteredServer,
        timeLeft: Milliseconds,
        controller: AbortController,
    ): Promise<GatewayReply | undefined> {
        try {
            return await this.send(state, server, timeLeft, controller);
        }
        catch (error) {
            const { message, stack } = error as Error;
            this.parts.logger.log("requestErrored", {
                request: state.request.id,
                server: server.id,
                error: message,
                stack,
            });
            this.recorder.recordUnused(state.request, server);
            state.excludedServers.add(server.id);
            state.runs++;
            this.log.recordFailure(state, server, "internalError", message);
            return undefined;
        }
    }

    private async send(
        state: RequestState,
        server: RegisteredServer,
        timeLeft: Milliseconds,
        controller: AbortController,
    ): Promise<GatewayReply | undefined> {
        const { admission, backends, clock, loads, metrics, pools, serverLoads, shutdown } = this.parts;
        const { request } = state;
        const sentAt = clock.now();
        serverLoads.recordSent(server);
        const limit = this.getAttemptLimit(request, timeLeft);
        let isExpired = false;
        const timer = clock.schedule(timeLeft, () => {
            isExpired = true;
            controller.abort(new Error("the request's deadline passed"));
        });
        const signal = AbortSignal.any([request.callerGone, controller.signal]);
        const outcome = await backends.send({
            id: request.id,
            server,
            connections: isForOwner(request) ? undefined : pools.getConnectionLimit(request.service),
            method: request.method,
            path: request.path,
            headers: request.headers,
            body: getSentBody(request.body),
            timeLeft,
            signal,
            carriers: state.carriers,
            maySend: () =>
                shutdown.canServe(request.deadlineAt)
                && admission.takePermission(server, isForOwner(request)),
        });
        serverLoads.recordOutcome(server, outcome, clock.now() - sentAt, clock.now());
        this.recorder.recordNotice(server, outcome);
        const answer = outcome.kind === "answered"
            ? await readAnswer(outcome, request.method)
            : undefined;
        timer.cancel();
        const duration = clock.now() - sentAt;
        const result = answer?.kind ?? outcome.kind;
        metrics.record(
            "arbutusdoor_attempt_us",
            { service: request.service.id, result },
            duration * MICROSECONDS_PER_MS,
        );
        this.recorder.recordEnd(request, server, outcome, answer, duration, isExpired || duration >= limit);
        if (controller.signal.aborted && !isExpired) {
            return undefined;
        }
        const trace = { connection: outcome.connection, durationMs: duration };
        if (answer?.kind === "whole" || answer?.kind === "stream") {
            loads.recordAnswer(server.id, duration, serverLoads.getReport(server, clock.now()));
            return this.handleAnswer(state, server, answer, trace);
        }
        if (request.callerGone.aborted) {
            return { kind: "gone" };
        }
        return this.handleFailure(state, server, outcome, answer, isExpired, trace);
    }

    private handleAnswer(
        state: RequestState,
        server: RegisteredServer,
        answer: ForwardableAnswer,
        trace: AttemptTrace,
    ): GatewayReply | undefined {
        const { status } = answer;
        const isFailure = status >= FIRST_FAILURE_STATUS;
        state.runs++;
        if (isFailure && state.request.route.isIdempotent && answer.kind === "whole") {
            state.errorAnswer = answer;
            state.excludedServers.add(server.id);
            this.log.recordFailure(state, server, "serverError", `status ${status}`, trace);
            return undefined;
        }
        if (answer.kind === "stream") {
            destroyOverdueBody(answer.body, this.parts.clock, this.getTimeLeft(state.request), () => {
                this.log.write("requestFailed", state, {
                    server: server.id,
                    status,
                    reason: "answerOverdue",
                });
            });
        }
        this.log.write("requestAnswered", state, { server: server.id, status, connection: trace.connection });
        return createAnswer(answer);
    }

    private handleFailure(
        state: RequestState,
        server: RegisteredServer,
        outcome: BackendOutcome,
        answer: UnusableAnswer | undefined,
        isExpired: boolean,
        trace: AttemptTrace,
    ): GatewayReply | undefined {
        const { loads } = this.parts;
        const { request } = state;
        state.excludedServers.add(server.id);
        if (outcome.kind === "notRun") {
            if (outcome.cause === "misdirected" && request.key !== undefined) {
                loads.recordMisdirected(request.service.id, request.key);
            }
            if (outcome.cause === "withheld") {
                // It has not left this host, so another attempt is no retry.
                state.sends--;
            }
            this.log.recordFailure(state, server, outcome.cause, outcome.detail, trace);
            return undefined;
        }
        const isUnsent = outcome.kind === "cancelled" && !outcome.isSent;
        state.runs += isUnsent ? 0 : 1;
        const detail = answer?.reason ?? (outcome.kind === "unknown" ? outcome.detail : "given up");
        this.log.recordFailure(state, server, isExpired ? "overdue" : "connectionLost", detail, trace);
        return undefined;
    }

    /** Returns the final reply to a request without a successful attempt. */
    private giveUp(state: RequestState): GatewayReply {
        const { request, runs } = state;
        if (state.errorAnswer) {
            return createAnswer(state.errorAnswer);
        }
        const reason = state.lastFailure?.reason ?? "noServer";
        if (runs === 0) {
            return this.refuse(state, reason);
        }
        const status = this.getTimeLeft(request) <= minTimeLeftMs ? GATEWAY_TIMEOUT : BAD_GATEWAY;
        this.log.write("requestFailed", state, { status, reason, runs });
        return { kind: "refusal", status, reason };
    }

    private refuse(state: RequestState, reason: string): GatewayReply {
        const status = SERVICE_UNAVAILABLE;
        this.log.write("requestRefused", state, { status, reason });
        const { admission, overload } = this.parts;
        const retryAfterMs = overload.getReturnDelay(state)
            ?? (state.quietTime === undefined ? RETRY_AFTER_MS : admission.getReturnDelay(state.quietTime));
        return { kind: "refusal", status, reason, retryAfterMs };
    }

    /** Returns how long an attempt stays the only one; that of a request that can be sent only once is not limited. */
    private getAttemptLimit(request: GatewayRequest, timeLeft: Milliseconds): Milliseconds {
        return request.service.isKeyed
            ? timeLeft
            : this.parts.pools.getAttemptTimeout(request.service.id, request.route.isIdempotent, timeLeft);
    }

    private getTimeLeft(request: GatewayRequest): Milliseconds {
        return request.deadlineAt - this.parts.clock.now();
    }
}

function createAnswer({ body, headers, status }: ForwardableAnswer): GatewayReply {
    return { kind: "answer", status, headers, body };
}
