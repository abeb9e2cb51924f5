import {
    ArbutusdoorError,
    CallerConnection,
    type Clock,
    type HeaderFields,
    type LogFields,
    type Logger,
    type Metrics,
    type Milliseconds,
    OpenRequests,
    PortDrain,
    type ShutdownSchedule,
    waitForSocketReads,
} from "@arbutusdoor/common";
import { createServer, type IncomingMessage, type Server, type ServerResponse } from "node:http";
import type { Socket } from "node:net";
import { Readable } from "node:stream";
import polka from "polka";
import type { RouteTable } from "../configuration/routeTable.js";
import type { TargetRotation } from "../configuration/targetRotation.js";
import type { CallerHeaderCodec } from "./callerHeaderCodec.js";
import { endUnreadable } from "./endUnreadable.js";
import type { GatewayReply } from "./gatewayReply.js";
import type { GatewayRequest } from "./gatewayRequest.js";
import { RequestReader } from "./requestReader.js";
import type { RequestRouter } from "./requestRouter.js";
import { writeAnswer } from "./writeAnswer.js";

/** Shared by all requests: creating an error with its stack trace costs more than routing a request. */
const CALLER_GONE = new ArbutusdoorError("the caller disconnected");
/** Limit of the HTTP parser on the header section; the lower configured limit is checked for each request. */
const PARSER_HEADER_BYTES = 131_072;
/** Interval at which connections are checked for timeouts. */
const TIMEOUT_CHECK_MS = 500;
const MICROSECONDS_PER_MS = 1_000;
const BAD_GATEWAY = 502;
const SERVICE_UNAVAILABLE = 503;
const RETRY_AFTER_MS = 300;
/** Far more than a host has open at the end of its shutdown. */
const MAX_CUT_OFF_LINES = 100;

/** Dependencies of the port. */
type CallerPortParts = {
    readonly clock: Clock;
    readonly logger: Logger;
    readonly metrics: Metrics;
    readonly router: RequestRouter;
    readonly dialect: CallerHeaderCodec;
    readonly rotation: TargetRotation;
    readonly shutdown: ShutdownSchedule;
    readonly getRoutes: () => RouteTable | undefined;
};

/** The HTTP server for callers: reads requests, has them routed and writes the replies. */
export class CallerPort {
    private readonly parts: CallerPortParts;
    private readonly server: Server;
    private readonly reader: RequestReader;
    private readonly connections = new WeakMap<Socket, CallerConnection>();
    /** Requests that were passed on to be routed, so that a server may have them. */
    private readonly routed = new WeakSet<IncomingMessage>();
    private readonly openRequests: OpenRequests;
    private readonly drain: PortDrain;

    constructor(parts: CallerPortParts) {
        this.parts = parts;
        this.reader = new RequestReader(parts);
        this.openRequests = new OpenRequests(parts.clock);
        this.server = createServer({
            maxHeaderSize: PARSER_HEADER_BYTES,
            requestTimeout: 0,
            connectionsCheckingInterval: TIMEOUT_CHECK_MS,
        });
        this.drain = new PortDrain(this.server, parts.clock);
        const { logger, metrics } = parts;
        metrics.gauge("arbutusdoor_requests_in_flight", () => this.openRequests.size);
        metrics.gauge("arbutusdoor_caller_connections", () => this.drain.size);
        this.server.on(
            "connection",
            () => metrics.count("arbutusdoor_caller_connections_accepted_total"),
        );
        this.server.on(
            "clientError",
            (error, socket) =>
                endUnreadable(error, socket as Socket, this.getConnection(socket as Socket), parts),
        );
        this.server.on("error", ({ message }) => logger.log("callerPortFailed", { reason: message }));
    }

    /** Starts to listen. Rejects when the address cannot be bound. */
    listen(host: string, port: number): Promise<void> {
        const app = polka({
            server: this.server,
            onNoMatch: (message, response) =>
                void this.handle(message, response).catch((error: Error) =>
                    this.fail(message, response, error)
                ),
        });
        return new Promise((resolve, reject) => {
            this.server.once("error", reject);
            this.server.once("listening", () => resolve());
            app.listen(port, host);
        });
    }

    /** Sets the timeouts of connections that apply from now on. */
    setTimeouts(headerTimeoutMs: number, idleTimeoutMs: number): void {
        this.server.headersTimeout = headerTimeoutMs;
        this.server.keepAliveTimeout = idleTimeoutMs;
    }

    /** Closes each connection with its last reply from now on. The port is to be closed after `listenMs`, the process ends `finishMs` later. */
    announceClose(listenMs: Milliseconds, finishMs: Milliseconds): void {
        this.parts.shutdown.begin(listenMs, finishMs);
    }

    /** Stops accepting connections; resolves once every request that was read has its complete reply and all connections are closed. */
    async close(): Promise<void> {
        if (!this.parts.shutdown.isStopping) {
            this.announceClose(0, Infinity);
        }
        this.parts.logger.log("callerPortClosing", this.describe());
        await this.drain.close();
    }

    /** Number of open connections, and of requests at each stage, for the log. */
    describe(): LogFields {
        return { connections: this.drain.size, ...this.openRequests.countStages() };
    }

    /** Logs the requests that the end of the process cuts off. */
    logCutOff(): void {
        this.openRequests.describe(MAX_CUT_OFF_LINES).forEach(fields =>
            this.parts.logger.log("requestCutOff", fields)
        );
    }

    private async handle(message: IncomingMessage, response: ServerResponse): Promise<void> {
        const { clock, dialect, metrics } = this.parts;
        const arrivedAt = clock.now();
        const callerGone = new AbortController();
        const connection = this.getConnection(message.socket);
        const openRequest = this.openRequests.add(
            dialect.readRequestHeaders(message.headers as HeaderFields).id,
        );
        const end = () => {
            if (!response.writableFinished) {
                callerGone.abort(CALLER_GONE);
            }
            this.openRequests.remove(openRequest);
        };
        message.on("error", () => callerGone.abort(CALLER_GONE));
        const request = connection.add(message, end);
        if (!await request.turn) {
            message.resume();
            this.openRequests.remove(openRequest);
            return;
        }
        openRequest.stage = "arriving";
        response.once("close", () => {
            end();
            connection.remove(request);
        });
        const parsed = await this.reader.read(message, arrivedAt, callerGone.signal);
        openRequest.stage = "routed";
        // When the process lags behind, a request and its caller's disconnection may both be waiting to be read.
        await waitForSocketReads();
        if (message.socket.readableEnded || message.socket.destroyed) {
            callerGone.abort(CALLER_GONE);
        }
        if (parsed.kind === "request") {
            this.routed.add(message);
        }
        const reply = parsed.kind === "request" ? await this.route(parsed.request) : parsed.reply;
        const route = parsed.kind === "request" ? parsed.request.route.name : "none";
        if (parsed.kind === "reply" && reply.kind === "refusal") {
            this.logRefusal(message, reply);
        }
        openRequest.stage = "answering";
        const result = reply.kind === "gone" ? "gone" : String(reply.status);
        metrics.record(
            "arbutusdoor_request_us",
            { route, result },
            (clock.now() - arrivedAt) * MICROSECONDS_PER_MS,
        );
        const { shutdown } = this.parts;
        if (shutdown.isStopping) {
            // The reply may announce the close only once it is next to be sent: requests that come until then are read as well.
            await connection.waitForTurn(request);
        }
        // A long answer does not announce the close: requests may come until it has ended.
        const isLong = reply.kind === "answer" && reply.body instanceof Readable;
        const isEnding = shutdown.isStopping && !isLong || connection.hasEndedReading;
        const isCloseDue = isEnding && connection.isLast(request) || !message.complete;
        if (isCloseDue && !response.destroyed) {
            response.setHeader("connection", "close");
            connection.end();
        }
        this.write(message, response, reply);
    }

    /** Ends a request after an internal error. Once it was routed, it may have run. */
    private fail(message: IncomingMessage, response: ServerResponse, { message: error, stack }: Error): void {
        const { dialect, logger } = this.parts;
        const { id } = dialect.readRequestHeaders(message.headers as HeaderFields);
        logger.log("requestErrored", { request: id, error, stack });
        if (response.headersSent || response.destroyed) {
            response.destroy();
            return;
        }
        response.getHeaderNames().forEach(name => response.removeHeader(name));
        this.write(
            message,
            response,
            this.routed.has(message)
                ? { kind: "refusal", status: BAD_GATEWAY, reason: "internalError" }
                : {
                    kind: "refusal",
                    status: SERVICE_UNAVAILABLE,
                    reason: "internalError",
                    retryAfterMs: RETRY_AFTER_MS,
                },
        );
    }

    private getConnection(socket: Socket): CallerConnection {
        let connection = this.connections.get(socket);
        if (!connection) {
            connection = new CallerConnection(socket);
            this.connections.set(socket, connection);
        }
        return connection;
    }

    private async route(request: GatewayRequest): Promise<GatewayReply> {
        return request.callerGone.aborted ? { kind: "gone" } : await this.parts.router.route(request);
    }

    private write(message: IncomingMessage, response: ServerResponse, reply: GatewayReply): void {
        if (reply.kind === "gone" || response.destroyed) {
            response.destroy();
            return;
        }
        if (reply.kind === "refusal") {
            this.writeRefusal(response, reply);
        }
        else {
            writeAnswer(message, response, reply);
        }
        message.resume();
    }

    private writeRefusal(response: ServerResponse, reply: Extract<GatewayReply, { kind: "refusal"; }>): void {
        const { reason, retryAfterMs, status } = reply;
        const body = JSON.stringify({
            title: reason,
            status,
            outcome: retryAfterMs === undefined ? "unknown" : "not-run",
        });
        const retry = retryAfterMs === undefined ? {} : this.parts.dialect.createRetryHeaders(retryAfterMs);
        response.writeHead(status, {
            "content-type": "application/problem+json",
            "content-length": Buffer.byteLength(body),
            ...retry,
        });
        response.end(body);
    }

    /** Logs a request that was refused before it could be routed. */
    private logRefusal(message: IncomingMessage, reply: Extract<GatewayReply, { kind: "refusal"; }>): void {
        this.parts.logger.log("requestRefused", {
            request: this.parts.dialect.readRequestHeaders(message.headers as HeaderFields).id,
            host: message.headers.host,
            path: message.url,
            status: reply.status,
            reason: reply.reason,
            configuration: this.parts.getRoutes()?.configuration.version,
        });
    }
}
