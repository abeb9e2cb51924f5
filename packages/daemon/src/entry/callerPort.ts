import {
    ArbutusdoorError,
    CallerConnections,
    type Clock,
    createRefusal,
    type LogFields,
    type Logger,
    type Metrics,
    type Milliseconds,
    OpenRequests,
    PortDrain,
    type Refusal,
    type ShutdownSchedule,
} from "@arbutusdoor/common";
import type { Declaration } from "@arbutusdoor/configuration";
import { createServer, type IncomingMessage, type Server, type ServerResponse } from "node:http";
import type { AddressInfo, Socket } from "node:net";
import polka from "polka";
import type { RequestRouter } from "../routing/requestRouter.js";
import type { Answer } from "../serving/answer.js";
import { refuseStopping } from "../serving/refuseStopping.js";
import type { CallerRequest } from "./callerRequest.js";
import { getForwardedHeaders } from "./getForwardedHeaders.js";
import { matchRequest } from "./matchRequest.js";
import { readCallerOptions } from "./readCallerOptions.js";
import { readRequestBody } from "./readRequestBody.js";
import { refuseMalformed } from "./refuseMalformed.js";
import type { RequestIds } from "./requestIds.js";
import { sendAnswer } from "./sendAnswer.js";
import { sendRefusal } from "./sendRefusal.js";

/** A shared error, since creating one with its stack costs more than routing a request. */
const CALLER_GONE = new ArbutusdoorError("the caller left");
const MICROSECONDS_PER_MS = 1_000;
/** Bound of the log lines at the end of a stop. */
const MAX_CUT_OFF_LINES = 100;

/** Limits of the callers' port. */
type CallerLimits = {
    readonly headerLimitBytes: number;
    readonly bufferedBodyBytes: number;
    readonly inFlightLimit: number;
    /** Time in ms for which an idle connection is kept open. */
    readonly callerIdleMs: number;
};

/** Dependencies and limits of the callers' port. */
type CallerPortOptions = {
    readonly clock: Clock;
    readonly logger: Logger;
    readonly metrics: Metrics;
    readonly ids: RequestIds;
    readonly router: RequestRouter;
    readonly shutdown: ShutdownSchedule;
    readonly limits: CallerLimits;
    readonly getDeclaration: () => Declaration | undefined;
};

/** A request that can be routed, or the refusal of one that cannot. */
type Reading =
    | { readonly kind: "request"; readonly request: CallerRequest; }
    | { readonly kind: "refusal"; readonly refusal: Refusal; };

/** The callers' port: accepts HTTP requests, routes them and writes the answers. */
export class CallerPort {
    private readonly options: CallerPortOptions;
    private readonly server: Server;
    private readonly connections = new CallerConnections();
    private readonly open: OpenRequests;
    private readonly drain: PortDrain;

    constructor(options: CallerPortOptions) {
        this.options = options;
        this.open = new OpenRequests(options.clock);
        this.server = createServer({
            maxHeaderSize: options.limits.headerLimitBytes,
            keepAliveTimeout: options.limits.callerIdleMs,
            requestTimeout: 0,
        });
        this.drain = new PortDrain(this.server, options.clock);
        this.server.on("clientError", (error, socket) => this.endMalformed(error, socket as Socket));
        options.metrics.gauge("arbutusdoor_requests_in_flight", () => this.open.size);
    }

    /** Starts to listen; resolves to the port. Rejects when the address cannot be bound. */
    listen(host: string, port: number): Promise<number> {
        const app = polka({
            server: this.server,
            onNoMatch: (message, response) => void this.handleRequest(message, response),
        });
        return new Promise((resolve, reject) => {
            this.server.once("error", reject);
            this.server.once("listening", () => resolve((this.server.address() as AddressInfo).port));
            app.listen(port, host);
        });
    }

    /**
     * Closes each connection with its last answer from now on, so that few are left when the port closes. The port is to be closed after
     * `listenMs`, the process ends `finishMs` later.
     */
    announceClose(listenMs: Milliseconds, finishMs: Milliseconds): void {
        this.options.shutdown.begin(listenMs, finishMs);
    }

    /** Stops accepting connections; resolves once every request that was read has its complete answer and all connections are closed. */
    async close(): Promise<void> {
        const { logger, shutdown } = this.options;
        if (!shutdown.isStopping) {
            this.announceClose(0, Infinity);
        }
        logger.log("callerPortClosing", this.describe());
        await this.drain.close();
    }

    /** Number of open connections, and of requests at each stage, for the log. */
    describe(): LogFields {
        return { connections: this.drain.size, ...this.open.countStages() };
    }

    /** Logs the requests that the end of the process cuts off. */
    logCutOff(): void {
        this.open.describe(MAX_CUT_OFF_LINES).forEach(fields =>
            this.options.logger.log("requestCutOff", fields)
        );
    }

    private async handleRequest(message: IncomingMessage, response: ServerResponse): Promise<void> {
        const { clock, ids, metrics, router, shutdown } = this.options;
        const id = ids.next();
        const beganAt = clock.now();
        const disconnected = new AbortController();
        const connection = this.connections.get(message.socket);
        const open = this.open.add(id);
        const end = () => {
            if (!response.writableFinished) {
                disconnected.abort(CALLER_GONE);
            }
            this.open.remove(open);
        };
        const request = connection.add(message, end);
        if (!await request.turn) {
            message.resume();
            this.open.remove(open);
            return;
        }
        open.stage = "arriving";
        response.once("close", () => {
            end();
            connection.remove(request);
        });
        const reading = await this.read(message, id, beganAt, disconnected.signal);
        open.stage = "routed";
        const answer = reading.kind === "request" ? await router.route(reading.request) : reading;
        open.stage = "answering";
        const labels = getLabels(reading, answer);
        metrics.record("arbutusdoor_request_us", labels, (clock.now() - beganAt) * MICROSECONDS_PER_MS);
        if (shutdown.isStopping) {
            // The answer may announce the close only once it is next to be sent: requests that come until then are read as well.
            await connection.waitForTurn(request);
        }
        const isCloseDue = shutdown.isStopping && connection.isLast(request) || !message.complete;
        if (isCloseDue && !response.destroyed) {
            response.setHeader("connection", "close");
            connection.end();
        }
        this.answer(message, response, id, answer);
    }

    private answer(
        message: IncomingMessage,
        response: ServerResponse,
        id: CallerRequest["id"],
        answer: Answer,
    ): void {
        if (answer.kind === "answered") {
            sendAnswer(response, id, answer);
        }
        else {
            sendRefusal(response, id, answer.refusal);
        }
        message.resume();
    }

    private async read(
        message: IncomingMessage,
        id: CallerRequest["id"],
        beganAt: number,
        signal: AbortSignal,
    ): Promise<Reading> {
        if (this.open.size > this.options.limits.inFlightLimit) {
            return refuse("queueFull", "the entry host has as many requests in flight as it takes");
        }
        const declaration = this.options.getDeclaration();
        if (!declaration) {
            return refuse("noConfiguration", "no configuration is in force on this entry host yet");
        }
        const url = message.url ?? "/";
        const method = message.method ?? "GET";
        const match = matchRequest(declaration, method, url);
        if (match.kind === "refusal") {
            return match;
        }
        const { key, requestClass, service } = match;
        const reading = readCallerOptions(message.headers, requestClass.deadlineMs);
        if (reading.kind === "refusal") {
            return reading;
        }
        const { deadline, idempotencyKey } = reading.wishes;
        const deadlineAt = beganAt + deadline;
        const { limits: { bufferedBodyBytes }, shutdown } = this.options;
        if (!shutdown.canServe(deadlineAt)) {
            return refuseStopping();
        }
        const { bodyLimitBytes } = requestClass;
        const body = await readRequestBody(
            message,
            { bodyLimitBytes, bufferedBodyBytes },
            this.options.clock,
            deadline,
        );
        if (body.kind === "refusal") {
            return body;
        }
        if (!shutdown.canServe(deadlineAt)) {
            return refuseStopping();
        }
        const request: CallerRequest = {
            id,
            tenant: declaration.tenant,
            service,
            requestClass,
            key,
            method,
            path: url,
            headers: getForwardedHeaders(message.headers),
            body: body.body,
            deadlineAt,
            idempotencyKey,
            signal,
        };
        return { kind: "request", request };
    }

    /** A request that arrived whole still gets its answer; one whose body is broken gets none, as its outcome is unclear. */
    private endMalformed(error: Error, socket: Socket): void {
        this.options.metrics.count("arbutusdoor_malformed_requests_total");
        const { isWhole, size } = this.connections.get(socket);
        if (size === 0) {
            refuseMalformed(socket, error);
        }
        else if (!isWhole) {
            socket.destroy();
        }
    }
}

function refuse(reason: Refusal["reason"], detail: string): Reading {
    return { kind: "refusal", refusal: createRefusal(reason, detail) };
}

function getLabels(reading: Reading, answer: Answer): Record<string, string> {
    const outcome = answer.kind === "answered" ? "answered" : answer.refusal.outcome;
    const reason = answer.kind === "answered" ? "none" : answer.refusal.reason;
    if (reading.kind === "refusal") {
        return { tenant: "none", service: "none", class: "none", outcome, reason };
    }
    const { tenant, service, requestClass } = reading.request;
    return { tenant, service: service.name, class: requestClass.name, outcome, reason };
}
