import {
    CallerConnections,
    type Clock,
    InputError,
    type Logger,
    type Metrics,
    PortDrain,
} from "@arbutusdoor/common";
import { createServer, type IncomingMessage, type Server, type ServerResponse } from "node:http";
import type { AddressInfo } from "node:net";
import polka from "polka";
import "./actions/index.js";
import type { OperatorAction } from "./operatorAction.js";
import { operatorActions } from "./operatorActions.js";
import type { OperatorContext } from "./operatorContext.js";
import type { OperatorReply } from "./operatorReply.js";
import type { OperatorServerOptions } from "./operatorServerOptions.js";
import type { OperatorSettings } from "./operatorSettings.js";
import { readJsonBody } from "./readJsonBody.js";
import { sendReply } from "./sendReply.js";
import { TokenCheck } from "./tokenCheck.js";
import { WatchStream } from "./watchStream.js";

const MIN_TOKEN_LENGTH = 16;
const WATCH_PATH = "/v1/watch";

type Next = () => void;

/** The operators' port: HTTP with a bearer token. Every refusal is application/problem+json. */
export class OperatorServer {
    private readonly context: OperatorContext;
    private readonly settings: OperatorSettings;
    private readonly clock: Clock;
    private readonly logger: Logger;
    private readonly metrics: Metrics;
    private readonly tokenCheck: TokenCheck;
    private readonly watchers = new Map<WatchStream, () => void>();
    private readonly server: Server;
    private readonly connections = new CallerConnections();
    private readonly drain: PortDrain;
    private isClosing = false;

    /** Throws InputError when the token is shorter than 16 characters. */
    constructor(options: OperatorServerOptions) {
        if (options.token.length < MIN_TOKEN_LENGTH) {
            throw new InputError(`the operators' token needs at least ${MIN_TOKEN_LENGTH} characters`);
        }
        this.context = options.context;
        this.settings = options.settings;
        this.clock = options.clock;
        this.logger = options.logger;
        this.metrics = options.metrics;
        this.tokenCheck = new TokenCheck(options.token);
        this.server = createServer({ requestTimeout: options.settings.bodyTimeoutMs });
        this.drain = new PortDrain(this.server, options.clock);
        this.metrics.gauge("arbutusdoor_operator_watchers", () => this.watchers.size);
    }

    /** Starts to listen; resolves to the port. Rejects when the address cannot be bound. */
    listen(): Promise<number> {
        const app = polka({ server: this.server, onNoMatch: (_, response) => refuseUnknown(response) });
        app.use((request: IncomingMessage, response: ServerResponse, next: Next) =>
            this.authorize(request, response, next)
        );
        for (const action of operatorActions.list()) {
            app.add(
                action.method,
                action.path,
                (request, response) => void this.run(action, request, response),
            );
        }
        app.get(WATCH_PATH, (_, response) => this.watch(response));
        return new Promise((resolve, reject) => {
            this.server.once("error", reject);
            this.server.once("listening", () => resolve((this.server.address() as AddressInfo).port));
            app.listen(this.settings.port, this.settings.address);
        });
    }

    /** Ends watch streams with a last event, stops accepting calls and resolves when those in flight are answered and all connections closed. */
    async close(): Promise<void> {
        this.isClosing = true;
        for (const watcher of [...this.watchers.keys()]) {
            watcher.end("hostStopping");
        }
        await this.drain.close();
    }

    private authorize(request: IncomingMessage, response: ServerResponse, next: Next): void {
        if (this.tokenCheck.isAuthorized(request.headers.authorization)) {
            next();
            return;
        }
        this.logger.log("operatorRefused", { address: request.socket.remoteAddress });
        this.metrics.count("arbutusdoor_operator_calls_total", { action: "any", result: "unauthorized" });
        response.setHeader("www-authenticate", "Bearer");
        response.setHeader("connection", "close");
        const detail = "the call needs the operators' token";
        sendReply(response, { kind: "problem", status: 401, title: "not authorized", detail });
    }

    private async run(
        action: OperatorAction,
        request: IncomingMessage,
        response: ServerResponse,
    ): Promise<void> {
        const connection = this.connections.get(request.socket);
        const call = connection.add(request, () => undefined);
        if (!await call.turn) {
            request.resume();
            return;
        }
        response.once("close", () => connection.remove(call));
        const reply = await this.getReply(action, request);
        const result = reply.kind === "answer" ? "ok" : String(reply.status);
        this.metrics.count("arbutusdoor_operator_calls_total", { action: action.name, result });
        if (this.isClosing) {
            // The reply may announce the close only once it is next to be sent: calls that come until then are answered as well.
            await connection.waitForTurn(call);
        }
        if (!request.complete || this.isClosing && connection.isLast(call)) {
            response.setHeader("connection", "close");
            connection.end();
        }
        sendReply(response, reply);
    }

    private async getReply(action: OperatorAction, request: IncomingMessage): Promise<OperatorReply> {
        const reading = await readJsonBody(request, this.settings.bodyLimitBytes);
        switch (reading.kind) {
            case "tooLarge": {
                const detail = `the body may have ${this.settings.bodyLimitBytes} bytes`;
                return { kind: "problem", status: 413, title: "body too large", detail };
            }
            case "malformed":
                return {
                    kind: "problem",
                    status: 400,
                    title: "malformed call",
                    detail: "the body is not JSON",
                };
            case "broken":
                return {
                    kind: "problem",
                    status: 400,
                    title: "malformed call",
                    detail: "the body broke off",
                };
            case "json":
                return this.runAction(action, request, reading.json);
        }
    }

    private async runAction(
        action: OperatorAction,
        request: IncomingMessage,
        body: unknown,
    ): Promise<OperatorReply> {
        const query = new URL(request.url ?? "/", "http://operator").searchParams;
        try {
            return await action.run(this.context, { query, body });
        }
        catch (error) {
            this.logger.log("operatorFailed", { action: action.name, error: String(error) });
            const detail = "the call may have taken effect";
            return { kind: "problem", status: 500, title: "the daemon failed on this call", detail };
        }
    }

    private watch(response: ServerResponse): void {
        if (this.watchers.size >= this.settings.maxWatchers) {
            const detail = `this host serves ${this.settings.maxWatchers} watchers at a time`;
            sendReply(response, { kind: "problem", status: 503, title: "too many watchers", detail });
            return;
        }
        const stream = new WatchStream(response, this.clock, this.settings);
        const unwatch = this.context.watch(event => {
            if (!stream.send(event)) {
                this.metrics.count("arbutusdoor_operator_watchers_dropped_total");
                this.removeWatcher(stream);
            }
        });
        this.watchers.set(stream, unwatch);
        response.once("close", () => this.removeWatcher(stream));
    }

    private removeWatcher(stream: WatchStream): void {
        this.watchers.get(stream)?.();
        this.watchers.delete(stream);
        stream.close();
    }
}

function refuseUnknown(response: ServerResponse): void {
    const detail = "no such call on the operators' port";
    sendReply(response, { kind: "problem", status: 404, title: "not found", detail });
}
