import {
    acceptPendingConnections,
    ArbutusdoorError,
    type Clock,
    createRefusal,
    type Metrics,
    type Refusal,
} from "@arbutusdoor/common";
import type { Declaration } from "@arbutusdoor/configuration";
import { createServer, type IncomingMessage, type Server, type ServerResponse } from "node:http";
import type { AddressInfo } from "node:net";
import type { Duplex } from "node:stream";
import polka from "polka";
import type { RequestRouter } from "../routing/requestRouter.js";
import type { Answer } from "../serving/answer.js";
import type { CallerRequest } from "./callerRequest.js";
import { getForwardedHeaders } from "./getForwardedHeaders.js";
import { matchRequest } from "./matchRequest.js";
import { OpenExchanges } from "./openExchanges.js";
import { readCallerOptions } from "./readCallerOptions.js";
import { readRequestBody } from "./readRequestBody.js";
import { refuseMalformed } from "./refuseMalformed.js";
import type { RequestIds } from "./requestIds.js";
import { sendAnswer } from "./sendAnswer.js";
import { sendRefusal } from "./sendRefusal.js";

/** A shared error, since creating one with its stack costs more than routing a request. */
const CALLER_GONE = new ArbutusdoorError("the caller left");
const MICROSECONDS_PER_MS = 1_000;

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
    readonly metrics: Metrics;
    readonly ids: RequestIds;
    readonly router: RequestRouter;
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
    private readonly exchanges = new OpenExchanges();
    private inFlight = 0;
    private isClosing = false;
    private notifyIdle: (() => void) | undefined;

    constructor(options: CallerPortOptions) {
        this.options = options;
        this.server = createServer({
            maxHeaderSize: options.limits.headerLimitBytes,
            keepAliveTimeout: options.limits.callerIdleMs,
            requestTimeout: 0,
        });
        this.server.on("clientError", (error, socket) => this.endMalformed(error, socket));
        options.metrics.gauge("arbutusdoor_requests_in_flight", () => this.inFlight);
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

    /** Closes each connection after its next answer from now on, so that few are left when the port closes. */
    announceClose(): void {
        this.isClosing = true;
    }

    /** Stops accepting connections and resolves once every request has its complete answer. */
    async close(): Promise<void> {
        this.isClosing = true;
        await acceptPendingConnections(this.server);
        this.server.close();
        this.server.closeIdleConnections();
        while (this.inFlight > 0) {
            await new Promise<void>(resolve => {
                this.notifyIdle = resolve;
            });
        }
        this.server.closeIdleConnections();
    }

    private async handleRequest(message: IncomingMessage, response: ServerResponse): Promise<void> {
        const { clock, metrics } = this.options;
        const id = this.options.ids.next();
        const beganAt = clock.now();
        const disconnected = new AbortController();
        this.inFlight++;
        this.exchanges.add(message, response);
        response.once("close", () => {
            if (!response.writableFinished) {
                disconnected.abort(CALLER_GONE);
            }
            this.endRequest();
        });
        const reading = await this.read(message, id, beganAt, disconnected.signal);
        const answer = reading.kind === "request"
            ? await this.options.router.route(reading.request)
            : reading;
        const labels = getLabels(reading, answer);
        metrics.record("arbutusdoor_request_us", labels, (clock.now() - beganAt) * MICROSECONDS_PER_MS);
        this.answer(message, response, id, answer);
    }

    private answer(
        message: IncomingMessage,
        response: ServerResponse,
        id: CallerRequest["id"],
        answer: Answer,
    ): void {
        if (this.isClosing || !message.complete) {
            response.setHeader("connection", "close");
        }
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
        if (this.inFlight > this.options.limits.inFlightLimit) {
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
        const { bufferedBodyBytes } = this.options.limits;
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
            deadlineAt: beganAt + deadline,
            idempotencyKey,
            signal,
        };
        return { kind: "request", request };
    }

    /** A request that arrived whole still gets its answer; one whose body is broken gets none, as its outcome is unclear. */
    private endMalformed(error: Error, socket: Duplex): void {
        this.options.metrics.count("arbutusdoor_malformed_requests_total");
        const state = this.exchanges.getState(socket);
        if (state === "idle") {
            refuseMalformed(socket, error);
        }
        else if (state === "broken") {
            socket.destroy();
        }
    }

    private endRequest(): void {
        this.inFlight--;
        if (this.inFlight === 0) {
            this.notifyIdle?.();
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
